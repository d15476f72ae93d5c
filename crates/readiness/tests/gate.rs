//! A group may be sent work only while every member confirms the same assignment. Work sent to a
//! group with a lost, leaving, slow or reassigned member would stall or run on the wrong model.

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

fn good_report(index: usize) -> ProbeReport {
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

fn prober_with_confirmed_group(at: TimeMs) -> Prober {
    let mut prober = Prober::new();
    prober.set_groups([assignment(1)]);
    for index in 0..MEMBERS {
        prober.on_report(
            &assignment(1).group,
            &vm(index),
            at,
            Some(&good_report(index)),
        );
    }
    prober
}

macro_rules! unconfirmed_group {
    ($name:ident, |$report:ident| $change:expr) => {
        #[test]
        fn $name() {
            let at = TimeMs(10_000);
            let mut prober = prober_with_confirmed_group(at);
            assert_eq!(prober.confirmed_groups(at).len(), 1);
            let mut $report = good_report(1);
            $change;
            let later = at.plus_ms(1);
            prober.on_report(&assignment(1).group, &vm(1), later, Some(&$report));
            assert_eq!(prober.confirmed_groups(later), []);
        }
    };
}

unconfirmed_group!(
    group_with_member_of_another_epoch_is_not_returned,
    |report| report.assignment = Some(assignment(2))
);
unconfirmed_group!(
    group_with_member_without_assignment_is_not_returned,
    |report| report.assignment = None
);
unconfirmed_group!(group_with_member_not_ready_is_not_returned, |report| {
    report.ready = false
});
unconfirmed_group!(group_with_straggling_member_is_not_returned, |report| {
    report.slowness = STRAGGLER_SLOWNESS
});
unconfirmed_group!(
    group_with_another_vm_at_the_address_is_not_returned,
    |report| report.vm = vm(7)
);
unconfirmed_group!(
    group_whose_member_has_another_model_is_not_returned,
    |report| {
        let mut other = assignment(1);
        other.model = "jp-model@v2".parse().expect("a valid model");
        report.assignment = Some(other);
    }
);
unconfirmed_group!(
    group_whose_member_has_another_adapter_is_not_returned,
    |report| {
        let mut other = assignment(1);
        other.model = "jp-model+quotes@v1".parse().expect("a valid model");
        report.assignment = Some(other);
    }
);
unconfirmed_group!(
    group_whose_member_has_another_member_list_is_not_returned,
    |report| {
        let mut other = assignment(1);
        other.members.pop();
        report.assignment = Some(other);
    }
);

#[test]
fn group_with_unanswered_probe_is_returned_until_the_last_confirmation_expires() {
    let at = TimeMs(10_000);
    let mut prober = prober_with_confirmed_group(at);
    let later = at.plus_ms(PERMIT_MS - 1);
    for index in [0, 2] {
        prober.on_report(
            &assignment(1).group,
            &vm(index),
            later,
            Some(&good_report(index)),
        );
    }
    prober.on_report(&assignment(1).group, &vm(1), later, None);
    assert_eq!(prober.confirmed_groups(later).len(), 1);
    assert_eq!(prober.confirmed_groups(at.plus_ms(PERMIT_MS)), []);
}

#[test]
fn report_of_an_earlier_probe_never_lengthens_a_permit() {
    let at = TimeMs(10_000);
    let mut prober = prober_with_confirmed_group(at);
    prober.on_report(
        &assignment(1).group,
        &vm(1),
        TimeMs(5_000),
        Some(&good_report(1)),
    );
    let group = prober.confirmed_groups(at).remove(0);
    assert_eq!(group.deadline, Deadline::after_ms(at, PERMIT_MS));
}

#[test]
fn report_of_an_earlier_probe_does_not_confirm_the_group_again() {
    let at = TimeMs(10_000);
    let mut prober = prober_with_confirmed_group(at);
    let mut other = good_report(1);
    other.assignment = None;
    let later = at.plus_ms(100);
    prober.on_report(&assignment(1).group, &vm(1), later, Some(&other));
    // Two probes may be in flight at once, and the answer to the earlier one may arrive last.
    prober.on_report(
        &assignment(1).group,
        &vm(1),
        at.plus_ms(50),
        Some(&good_report(1)),
    );
    assert_eq!(prober.confirmed_groups(later), []);
}

#[test]
fn group_with_leaving_member_is_returned_until_the_grace_period_ends() {
    let at = TimeMs(10_000);
    let mut prober = prober_with_confirmed_group(at);
    prober.set_leaving([vm(1)], at);
    let end = at.plus_ms(LEAVING_GRACE_MS);
    for index in 0..MEMBERS {
        prober.on_report(
            &assignment(1).group,
            &vm(index),
            end,
            Some(&good_report(index)),
        );
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

/// One probe of a member and its result.
#[derive(Debug, Clone)]
struct Step {
    member: usize,
    /// True if the answer confirms the assignment.
    confirms: bool,
    answers: bool,
    /// Time since the result of the step before.
    elapsed_ms: u64,
    /// Time from the sending of the probe to its result.
    took_ms: u64,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        Step {
            member: usize::arbitrary(g) % MEMBERS,
            confirms: u8::arbitrary(g) % 8 != 0,
            answers: u8::arbitrary(g) % 4 != 0,
            elapsed_ms: u64::arbitrary(g) % 400,
            took_ms: u64::arbitrary(g) % 300,
        }
    }
}

quickcheck! {
    /// In any order of answers, a group is returned exactly when the newest answer of each member
    /// confirms it and the probe was sent less than [`PERMIT_MS`] ago.
    fn group_is_returned_only_if_all_members_confirmed_it(steps: Vec<Step>) -> bool {
        let mut prober = Prober::new();
        prober.set_groups([assignment(1)]);
        let mut newest: [Option<(TimeMs, bool)>; MEMBERS] = [None; MEMBERS];
        let mut now = TimeMs(10_000);
        for step in steps {
            now = now.plus_ms(step.elapsed_ms);
            let sent_at = TimeMs(now.0 - step.took_ms);
            let mut report = good_report(step.member);
            report.ready = step.confirms;
            let group = assignment(1).group;
            let answer = step.answers.then_some(&report);
            prober.on_report(&group, &vm(step.member), sent_at, answer);
            let latest = &mut newest[step.member];
            if step.answers && latest.is_none_or(|(at, _)| sent_at >= at) {
                *latest = Some((sent_at, step.confirms));
            }
            let confirmed = |answer: &Option<(TimeMs, bool)>| {
                answer.is_some_and(|(at, confirms)| confirms && now.since_ms(at) < PERMIT_MS)
            };
            let is_returned = !prober.confirmed_groups(now).is_empty();
            if is_returned != newest.iter().all(confirmed) {
                return false;
            }
        }
        true
    }
}
