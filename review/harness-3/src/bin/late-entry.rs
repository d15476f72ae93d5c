//! A write of an engine's entry, sent before the engine joined its group, is executed seconds later, after
//! another gateway has taken over the groups.

use std::process::exit;

use review_harness_3::{
    Gateways, Record,
    engines::{Callers, Fronts, KIND, Requests, Site, finish},
    has_trouble, sleep_ms,
};

fn main() {
    let record = Record::default();
    let fronts = Fronts::new(&record);
    let site = Site::start(&fronts, 5, 3, 0);
    let store = site.platform.store.clone();
    let mut gateways = Gateways::prepare(&["zone-a"; 3], &[store.address; 3]);
    (0..3).for_each(|index| gateways.start(index));
    site.wait(&gateways);
    record.say(format!("open: {:?}", site.groups()));
    let owner = || {
        let lease = store.get_content("leases", "groups")?;
        let holder = lease["holder"].as_str()?;
        holder.strip_prefix("front-")?.parse::<usize>().ok()
    };
    let Some(first) = owner() else {
        eprintln!("the case could not run: no gateway holds the lease");
        exit(2);
    };
    let addresses = (0..3).filter(|index| *index != first);
    let addresses: Vec<_> = addresses
        .map(|index| gateways.addresses[index].callers)
        .collect();
    let requests = Requests::default();
    let callers = Callers::start(1, 1_500, &addresses, &requests, &record);
    sleep_ms(1_000);
    // What the write of each engine holds that is sent just before the group is formed.
    let before: Vec<_> = (0..3)
        .filter_map(|index| {
            let id = format!("i-{index}");
            store.get_content(KIND, &id).map(|entry| (id, entry))
        })
        .chain(site.later.iter().cloned())
        .collect();
    let sent_at = std::time::Instant::now();
    let newest = site.add_engines(&record);
    sleep_ms(300);
    gateways.signal(first, "TERM");
    record.say(format!("front-{first} is stopped as planned"));
    review_harness_3::wait_until("another gateway holds the lease", 5_000, || {
        owner().is_some_and(|now| now != first)
    });
    record.say(format!("front-{} holds the lease", owner().unwrap_or(9)));
    sleep_ms(2_500);
    let head = newest[0].clone();
    if has_trouble()
        && let Some((id, entry)) = before.iter().find(|(id, _)| *id == head)
    {
        let age_ms = sent_at.elapsed().as_millis();
        record.say(format!(
            "the store executes a write of {id}'s entry that was sent {age_ms} ms ago (group {})",
            entry["group"]
        ));
        let newer = store.get_content(KIND, id);
        store.put(KIND, id, entry.clone());
        sleep_ms(1_000);
        // The engine writes its entry again at its next heartbeat.
        if let Some(newer) = newer.filter(|_| store.get_content(KIND, id).as_ref() == Some(entry)) {
            store.put(KIND, id, newer);
            record.say(format!("{id} writes its entry again"));
        }
    }
    sleep_ms(3_000);
    record.say(format!("open: {:?}", site.groups()));
    callers.stop();
    exit(finish(&site, &fronts, gateways));
}
