use crate::world::{World, LARGE};

/// A member's entry stays as before its join; then the next owner takes over while other engines start.
fn takeover(cut_ms: u64, take_ms: u64, lag: u64) -> Vec<String> {
    let (mut world, members) = World::with_spares(2);
    world.report_lag_ms = lag;
    let domain = world.engines.by_id[&members[0]].entry.domain.clone();
    let spares: Vec<_> = world.engines.by_id.iter().filter(|(id, e)| e.is_alive && e.entry.domain == domain && !members.contains(id)).map(|(id, _)| id.clone()).collect();
    let dead: Vec<_> = world.engines.by_id.iter().filter(|(_, e)| !e.is_alive && e.entry.domain == domain).map(|(id, _)| id.clone()).collect();
    for id in &spares { world.engines.kill(id); world.run_ms(50); world.engines.restart(id); }
    world.run_ms(2000);
    world.engines.kill(&members[2]);
    world.planner.on_group_stalled(&members);
    let _ = LARGE;
    let mut t = 0;
    while t < 12000 {
        if t == cut_ms { for id in &spares { let now = world.now; world.engines.cut_off(id, now); } }
        if t == take_ms { world.take_over(); for id in &dead { world.engines.restart(id); } world.engines.restart(&members[2]); }
        world.run_ms(50);
        t += 50;
    }
    world.engines.violations.clone()
}

#[test]
fn sweep_takeover() {
    for lag in [0, 300] {
    for cut in (0..400).step_by(100) {
        for take in (0..5000).step_by(100) {
            let v = takeover(cut, take, lag);
            if !v.is_empty() { eprintln!("S1 lag {lag} cut {cut} take {take}: {} {}", v.len(), v[0]); }
        }
    }}
}

/// As the leader's and another member's loss; the engine that starts at the leader's address under another name is cut off.
fn shared(cut_ms: u64, lag: u64, back: u64) -> Vec<String> {
    let (mut world, members) = World::with_spares(2);
    world.report_lag_ms = lag;
    world.engines.kill(&members[2]);
    let domain = world.engines.by_id[&members[0]].entry.domain.clone();
    let dead: Vec<_> = world.engines.by_id.iter().filter(|(_, e)| !e.is_alive && e.entry.domain == domain).map(|(id, _)| id.clone()).collect();
    let b = world.engines.replace_at_address(&members[0]);
    world.planner.on_group_stalled(&members);
    let mut t = 0;
    while t < 15000 {
        if t == cut_ms { let now = world.now; world.engines.cut_off(&b, now); }
        if t == back { for id in &dead { world.engines.restart(id); } }
        world.run_ms(50);
        t += 50;
    }
    let m = world.engines.by_id[&b].entry.membership.clone();
    if cut_ms % 500 == 0 { eprintln!("shared {cut_ms}: {m:?}"); }
    world.engines.violations.clone()
}
#[test]
fn sweep_shared() {
    for lag in [0, 300] {
    for cut in (0..600).step_by(100) {
    for back in (0..4000).step_by(100) {
        let v = shared(cut, lag, back);
        if !v.is_empty() { eprintln!("S3 lag {lag} cut {cut} back {back}: {} {}", v.len(), v[0]); }
    }}}
}
#[test]
fn one() {
    let (mut world, members) = World::with_spares(2);
    let domain = world.engines.by_id[&members[0]].entry.domain.clone();
    let dead: Vec<_> = world.engines.by_id.iter().filter(|(_, e)| !e.is_alive && e.entry.domain == domain).map(|(id, _)| id.clone()).collect();
    eprintln!("{members:?} dead {dead:?}");
    world.engines.kill(&members[2]);
    let b = world.engines.replace_at_address(&members[0]);
    world.planner.on_group_stalled(&members);
    let start = world.now;
    for i in 0..160 {
        if i == 0 { let now = world.now; world.engines.cut_off(&b, now); }
        if i == 50 { for id in &dead { world.engines.restart(id); } }
        let t = world.now.since_ms(start);
        world.run_ms(50);
        let mut l = String::new();
        for (id, e) in &world.engines.by_id {
            if e.entry.domain != domain { continue; }
            let m = e.entry.membership.as_ref().map(|m| format!("{}:{}:{}", m.group, m.rank, m.state)).unwrap_or("-".into());
            l += &format!(" {}{}={}", id, if e.is_alive {""} else {"x"}, m);
        }
        eprintln!("{t} {l}");
    }
    eprintln!("{:?}", world.engines.violations);
}
