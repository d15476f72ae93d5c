//! Permits hold only while every member confirms the same assignment.

use jacinthpoint_readiness::{
    LEAVING_GRACE_MS, PERMIT_MS, Permit, PermitTable, ProbeReport, Prober, STRAGGLER_SLOWNESS,
};
use jacinthpoint_types::{Assignment, Deadline, Epoch, MemberAddress, TimeMs, VmId};
use quickcheck::{Arbitrary, Gen, quickcheck};

const MEMBERS: usize = 3;

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("a valid name")
}

fn assignment(epoch: u64) -> Assignment {
    let member = |index| MemberAddress {
        vm: vm(index),
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
    };
    Assignment {
        group: "rack.1.0".parse().expect("a valid name"),
        epoch: Epoch(epoch),
        model: "jp-model@v1".parse().expect("a valid model"),
        members: (0..MEMBERS).map(member).collect(),
    }
}

fn good(index: usize) -> ProbeReport {
    ProbeReport {
        vm: vm(index),
        assignment: Some(assignment(1)),
        leaving: false,
        ready: true,
        slowness: 1.0,
        load: 4,
        load_age_ms: 0,
    }
}

fn prober_with_all_confirmed(at: TimeMs) -> Prober {
    let mut prober = Prober::new();
    prober.set_groups([assignment(1)]);
    for index in 0..MEMBERS {
        prober.on_report(&assignment(1).group, &vm(index), at, Some(&good(index)));
    }
    prober
}

macro_rules! disagreement_closes {
    ($name:ident, |$report:ident| $change:expr) => {
        #[test]
        fn $name() {
            let at = TimeMs(10_000);
            let mut prober = prober_with_all_confirmed(at);
            assert_eq!(prober.confirmed_groups(at).len(), 1);
            let mut $report = good(1);
            $change;
            let later = at.plus_ms(1);
            prober.on_report(&assignment(1).group, &vm(1), later, Some(&$report));
            assert_eq!(prober.confirmed_groups(later), []);
        }
    };
}

disagreement_closes!(another_epoch, |report| report.assignment =
    Some(assignment(2)));
disagreement_closes!(no_assignment, |report| report.assignment = None);
disagreement_closes!(not_ready, |report| report.ready = false);
disagreement_closes!(straggler, |report| report.slowness = STRAGGLER_SLOWNESS);
disagreement_closes!(another_vm_on_the_address, |report| report.vm = vm(7));
disagreement_closes!(another_model, |report| {
    let mut other = assignment(1);
    other.model = "jp-model@v2".parse().expect("a valid model");
    report.assignment = Some(other);
});
disagreement_closes!(another_adapter, |report| {
    let mut other = assignment(1);
    other.model = "jp-model+quotes@v1".parse().expect("a valid model");
    report.assignment = Some(other);
});
disagreement_closes!(another_member_list, |report| {
    let mut other = assignment(1);
    other.members.pop();
    report.assignment = Some(other);
});

#[test]
fn silent_member_closes_the_group_when_its_confirmation_runs_out() {
    let at = TimeMs(10_000);
    let mut prober = prober_with_all_confirmed(at);
    let later = at.plus_ms(PERMIT_MS - 1);
    for index in [0, 2] {
        prober.on_report(&assignment(1).group, &vm(index), later, Some(&good(index)));
    }
    prober.on_report(&assignment(1).group, &vm(1), later, None);
    assert_eq!(prober.confirmed_groups(later).len(), 1);
    assert_eq!(prober.confirmed_groups(at.plus_ms(PERMIT_MS)), []);
}

#[test]
fn late_report_never_lengthens_a_permit() {
    let at = TimeMs(10_000);
    let mut prober = prober_with_all_confirmed(at);
    prober.on_report(&assignment(1).group, &vm(1), TimeMs(5_000), Some(&good(1)));
    let sight = prober.confirmed_groups(at).remove(0);
    assert_eq!(sight.deadline, Deadline::after_ms(at, PERMIT_MS));
}

#[test]
fn report_asked_for_before_a_disagreement_does_not_reopen_the_group() {
    let at = TimeMs(10_000);
    let mut prober = prober_with_all_confirmed(at);
    let mut other = good(1);
    other.assignment = None;
    let later = at.plus_ms(100);
    prober.on_report(&assignment(1).group, &vm(1), later, Some(&other));
    // Two probes may be on the way at once; the answer to the earlier one comes last.
    prober.on_report(&assignment(1).group, &vm(1), at.plus_ms(50), Some(&good(1)));
    assert_eq!(prober.confirmed_groups(later), []);
}

#[test]
fn leaving_member_closes_the_group_after_the_grace() {
    let at = TimeMs(10_000);
    let mut prober = prober_with_all_confirmed(at);
    prober.set_leaving([vm(1)], at);
    let end = at.plus_ms(LEAVING_GRACE_MS);
    for index in 0..MEMBERS {
        prober.on_report(&assignment(1).group, &vm(index), end, Some(&good(index)));
    }
    assert_eq!(prober.confirmed_groups(TimeMs(end.0 - 1)).len(), 1);
    assert_eq!(prober.confirmed_groups(end), []);
}

fn permit(epoch: u64, deadline_ms: u64) -> Permit {
    Permit {
        assignment: assignment(epoch),
        data_centre: "dc".parse().expect("a valid name"),
        deadline: Deadline(TimeMs(deadline_ms)),
        load: 0,
        load_at: TimeMs(0),
    }
}

#[test]
fn older_epoch_never_replaces_a_newer_permit() {
    let mut table = PermitTable::new();
    table.insert(permit(2, 5_000));
    table.insert(permit(1, 9_000));
    let held: Vec<_> = table.held(TimeMs(0)).collect();
    assert_eq!(held[0].assignment.epoch, Epoch(2));
}

/// One probe: which member, what it says, and how long its answer took.
#[derive(Debug, Clone)]
struct Step {
    member: usize,
    agrees: bool,
    answers: bool,
    passed_ms: u64,
    took_ms: u64,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        Step {
            member: usize::arbitrary(g) % MEMBERS,
            agrees: u8::arbitrary(g) % 8 != 0,
            answers: u8::arbitrary(g) % 4 != 0,
            passed_ms: u64::arbitrary(g) % 400,
            took_ms: u64::arbitrary(g) % 300,
        }
    }
}

quickcheck! {
    /// Whatever the order of answers, a group is whole only if each member's newest answer agreed
    /// and was asked for within the life of a permit.
    fn whole_means_confirmed_by_all(steps: Vec<Step>) -> bool {
        let mut prober = Prober::new();
        prober.set_groups([assignment(1)]);
        let mut newest: [Option<(TimeMs, bool)>; MEMBERS] = [None; MEMBERS];
        let mut now = TimeMs(10_000);
        for step in steps {
            now = now.plus_ms(step.passed_ms);
            let sent_at = TimeMs(now.0 - step.took_ms);
            let mut report = good(step.member);
            report.ready = step.agrees;
            let group = assignment(1).group;
            let answer = step.answers.then_some(&report);
            prober.on_report(&group, &vm(step.member), sent_at, answer);
            let known = &mut newest[step.member];
            if step.answers && known.is_none_or(|(at, _)| sent_at >= at) {
                *known = Some((sent_at, step.agrees));
            }
            let confirmed = |known: &Option<(TimeMs, bool)>| {
                known.is_some_and(|(at, agrees)| agrees && now.since_ms(at) < PERMIT_MS)
            };
            let whole = !prober.confirmed_groups(now).is_empty();
            if whole != newest.iter().all(confirmed) {
                return false;
            }
        }
        true
    }
}
