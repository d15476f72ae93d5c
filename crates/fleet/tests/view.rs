//! Tests [`FleetView`] with changed entries, outages and restores of the store, and lists read again.

use std::net::SocketAddr;

use jacinthpoint_fleet::{
    CallerLimits, ConfigVersion, EXPIRY_GRACE_MS, EntryNumber, FleetConfig, FleetView, GroupState,
    Membership, REMOVED_HOLD_MS, Service, UNLISTED_MS, Upstream, UpstreamState, ViewChange, WarmUp,
    WrittenEntry,
};
use jacinthpoint_types::{PerSecond, TimeMs, VmId};

/// Time after an outage at which the grace period has passed.
const AFTER_GRACE_MS: u64 = 2_000;

fn config(version: u64) -> FleetConfig {
    let limits = CallerLimits::default();
    FleetConfig::new(
        ConfigVersion(version),
        Vec::new(),
        Vec::new(),
        Vec::new(),
        limits,
    )
}

fn upstream(id: &str) -> Upstream {
    Upstream {
        id: id.parse().expect("valid name"),
        started_unix_ms: 1,
        service: "service".parse().expect("valid name"),
        address: address_of(id),
        data_centre: "dc".parse().expect("valid name"),
        state: UpstreamState::Ready,
        slots: 4,
        domain: None,
        staged: Vec::new(),
        model: None,
        membership: None,
        warm_up_left_ms: Some(0),
        is_listed: true,
    }
}

/// Returns the address of the upstream with this name of one letter.
fn address_of(id: &str) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::from(id.as_bytes()[0])))
}

/// Returns an upstream that drains.
fn draining(id: &str) -> Upstream {
    Upstream {
        state: UpstreamState::Draining,
        ..upstream(id)
    }
}

/// Returns an upstream that started again, at another address.
fn restarted(id: &str) -> Upstream {
    Upstream {
        started_unix_ms: 2,
        address: SocketAddr::from(([127, 0, 0, 2], 1)),
        ..upstream(id)
    }
}

/// Returns an upstream that is a member of a group.
fn member(id: &str, rank: usize) -> Upstream {
    Upstream {
        membership: Some(Membership {
            group: "g1".parse().expect("valid name"),
            epoch: 1,
            rank,
            state: GroupState::Ready,
        }),
        ..upstream(id)
    }
}

fn id(id: &str) -> VmId {
    id.parse().expect("valid name")
}

/// Returns an entry that its upstream gave a number.
fn written(upstream: Upstream, number: u64) -> WrittenEntry {
    WrittenEntry {
        upstream,
        number: Some(EntryNumber(number)),
    }
}

/// Returns a view with configuration 5 and the upstreams `a` and `b`.
fn view() -> FleetView {
    let mut view = FleetView::default();
    view.apply_config(config(5));
    view.apply_list(vec![upstream("a"), upstream("b")], false, TimeMs(10_000));
    view
}

macro_rules! view_tests {
    ($($name:ident: |$view:ident| $body:block)+) => {
        $(
            #[test]
            fn $name() {
                #[allow(unused_mut)]
                let mut $view = view();
                $body
            }
        )+
    };
}

view_tests! {
    older_configuration_is_dropped: |view| {
        assert_eq!(view.apply_config(config(3)), ViewChange::Older);
        assert_eq!(view.version(), ConfigVersion(5));
    }

    same_configuration_changes_nothing_and_newer_configuration_changes_the_view: |view| {
        assert_eq!(view.apply_config(config(5)), ViewChange::Same);
        assert_eq!(view.apply_config(config(9)), ViewChange::Changed);
    }

    entry_missing_without_an_outage_is_removed_at_once: |view| {
        view.apply_list(vec![upstream("a")], false, TimeMs(11_000));
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    entry_missing_after_an_outage_is_kept_for_the_grace_period: |view| {
        view.apply_list(vec![upstream("a")], true, TimeMs(20_000));
        assert!(view.upstreams().contains_key(&id("b")));
        assert!(view.remove_after_expiry_grace(TimeMs(20_000 + EXPIRY_GRACE_MS - 1)).is_empty());
        assert_eq!(view.remove_after_expiry_grace(TimeMs(20_000 + AFTER_GRACE_MS)), vec![id("b")]);
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    entry_written_again_after_an_outage_stays: |view| {
        view.apply_list(vec![upstream("a")], true, TimeMs(20_000));
        view.apply_upstream(upstream("b"), TimeMs(19_500));
        assert!(view.remove_after_expiry_grace(TimeMs(30_000)).is_empty());
        assert!(view.upstreams().contains_key(&id("b")));
    }

    later_list_without_an_outage_neither_extends_nor_ends_the_grace_period: |view| {
        view.apply_list(vec![upstream("a")], true, TimeMs(20_000));
        view.apply_list(vec![upstream("a")], false, TimeMs(21_000));
        assert!(view.upstreams().contains_key(&id("b")));
        view.apply_list(vec![upstream("a")], false, TimeMs(20_000 + AFTER_GRACE_MS));
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    entry_removed_during_an_outage_is_kept_for_the_grace_period: |view| {
        view.start_expiry_grace(&id("b"), TimeMs(20_000));
        assert!(view.upstreams().contains_key(&id("b")));
        assert_eq!(view.remove_after_expiry_grace(TimeMs(20_000 + AFTER_GRACE_MS)), vec![id("b")]);
    }

    view_is_complete_only_with_configuration_and_list: |view| {
        assert!(view.is_complete());
        let mut empty = FleetView::default();
        assert!(!empty.is_complete());
        empty.apply_list(Vec::<Upstream>::new(), false, TimeMs(1));
        assert!(!empty.is_complete());
    }

    member_whose_entry_is_removed_is_kept_as_unlisted_until_listed_again: |view| {
        view.apply_upstream(member("b", 1), TimeMs(19_500));
        view.remove_upstream(&id("b"), TimeMs(20_000));
        assert!(!view.upstreams().contains_key(&id("b")));
        assert!(!view.unlisted()[&id("b")].is_listed);
        view.apply_upstream(member("b", 1), TimeMs(19_500));
        assert!(view.unlisted().is_empty());
    }

    member_missing_from_a_list_is_kept_as_unlisted_until_it_expires: |view| {
        view.apply_upstream(member("b", 1), TimeMs(19_500));
        view.apply_list(vec![upstream("a")], false, TimeMs(20_000));
        assert!(view.unlisted().contains_key(&id("b")));
        let change = view.expire_unlisted(TimeMs(20_000 + UNLISTED_MS));
        assert_eq!(change, ViewChange::Changed);
        assert!(view.unlisted().is_empty());
    }

    // The leader gets callers' requests, which must not be sent to it after its entry is removed.
    leader_whose_entry_is_removed_is_not_kept: |view| {
        view.apply_upstream(member("b", 0), TimeMs(19_500));
        view.remove_upstream(&id("b"), TimeMs(20_000));
        assert!(view.unlisted().is_empty());
    }

    draining_member_whose_entry_is_removed_is_not_kept: |view| {
        let state = UpstreamState::Draining;
        view.apply_upstream(Upstream { state, ..member("b", 1) }, TimeMs(19_500));
        view.remove_upstream(&id("b"), TimeMs(20_000));
        assert!(view.unlisted().is_empty());
    }

    member_whose_entry_cannot_be_decoded_is_not_kept: |view| {
        view.apply_upstream(member("b", 1), TimeMs(19_500));
        view.discard_unreadable(&id("b"));
        assert!(view.unlisted().is_empty());
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    // Another upstream at the address of an unlisted member shows that the member's process no
    // longer runs.
    unlisted_member_is_dropped_when_another_entry_has_its_address: |view| {
        view.apply_upstream(member("b", 1), TimeMs(19_500));
        view.remove_upstream(&id("b"), TimeMs(20_000));
        view.apply_upstream(Upstream { address: address_of("b"), ..upstream("c") }, TimeMs(19_500));
        assert!(view.unlisted().is_empty());
    }

    member_missing_from_a_list_is_not_kept_when_another_entry_in_the_list_has_its_address: |view| {
        view.apply_upstream(member("b", 1), TimeMs(19_500));
        let successor = Upstream { address: address_of("b"), ..upstream("c") };
        view.apply_list(vec![upstream("a"), successor], false, TimeMs(20_000));
        assert!(view.unlisted().is_empty());
    }
    // Guards against a copy of the store that makes a draining upstream ready again.
    restored_entry_does_not_end_a_drain: |view| {
        view.apply_upstream(draining("b"), TimeMs(19_500));
        view.apply_restored_list(vec![upstream("a"), upstream("b")], TimeMs(20_000));
        view.apply_list(vec![upstream("a"), upstream("b")], false, TimeMs(20_500));
        view.release_held(TimeMs(30_000));
        assert!(view.upstreams()[&id("b")].is_draining());
    }

    restored_entry_that_drains_is_used_at_once: |view| {
        view.apply_restored_list(vec![upstream("a"), draining("b")], TimeMs(20_000));
        assert!(view.upstreams()[&id("b")].is_draining());
    }

    // Guards against a copy of the store that brings back an upstream that is gone.
    restored_entry_of_a_removed_upstream_is_held_until_it_would_have_expired: |view| {
        view.remove_upstream(&id("b"), TimeMs(19_000));
        view.apply_restored_list(vec![upstream("a"), upstream("b")], TimeMs(20_000));
        view.apply_list(vec![upstream("a"), upstream("b")], false, TimeMs(21_000));
        view.release_held(TimeMs(20_000 + REMOVED_HOLD_MS - 1));
        assert!(!view.upstreams().contains_key(&id("b")));
        assert_eq!(view.release_held(TimeMs(20_000 + REMOVED_HOLD_MS)), ViewChange::Changed);
        assert!(view.upstreams().contains_key(&id("b")));
    }

    restored_entry_that_expires_stays_away: |view| {
        view.remove_upstream(&id("b"), TimeMs(19_000));
        view.apply_restored_list(vec![upstream("a"), upstream("b")], TimeMs(20_000));
        view.remove_upstream(&id("b"), TimeMs(23_000));
        assert_eq!(view.release_held(TimeMs(30_000)), ViewChange::Same);
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    // Guards against requests to an address that the upstream had before it started again.
    restored_entry_of_an_earlier_incarnation_is_held: |view| {
        view.apply_upstream(restarted("b"), TimeMs(19_500));
        view.apply_restored_list(vec![upstream("a"), upstream("b")], TimeMs(20_000));
        assert_eq!(view.upstreams()[&id("b")], restarted("b"));
    }

    // Guards against requests to an address of before, if the clock was set back before the upstream started again.
    restored_entry_of_an_earlier_incarnation_with_a_higher_start_time_is_held: |view| {
        view.apply_upstream(restarted("b"), TimeMs(19_500));
        view.apply_upstream(upstream("b"), TimeMs(19_500));
        view.apply_restored_list(vec![upstream("a"), restarted("b")], TimeMs(20_000));
        assert_eq!(view.upstreams()[&id("b")], upstream("b"));
    }

    restored_entry_of_an_incarnation_of_an_earlier_list_is_held: |view| {
        view.apply_list(vec![upstream("a"), restarted("b")], false, TimeMs(18_000));
        view.apply_list(vec![upstream("a"), upstream("b")], false, TimeMs(19_000));
        view.apply_restored_list(vec![upstream("a"), restarted("b")], TimeMs(20_000));
        assert_eq!(view.upstreams()[&id("b")], upstream("b"));
    }

    restored_entry_of_a_removed_incarnation_with_a_higher_start_time_is_held: |view| {
        view.apply_upstream(restarted("b"), TimeMs(19_500));
        view.remove_upstream(&id("b"), TimeMs(18_000));
        view.apply_upstream(upstream("b"), TimeMs(19_500));
        view.apply_restored_list(vec![upstream("a"), restarted("b")], TimeMs(20_000));
        assert_eq!(view.upstreams()[&id("b")], upstream("b"));
    }

    // Guards against a copy of the store that brings back an upstream that is gone.
    restored_entry_of_an_incarnation_before_the_removed_one_is_held: |view| {
        view.apply_upstream(restarted("b"), TimeMs(19_500));
        view.apply_upstream(upstream("b"), TimeMs(19_500));
        view.remove_upstream(&id("b"), TimeMs(19_000));
        view.apply_restored_list(vec![upstream("a"), restarted("b")], TimeMs(20_000));
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    restored_entry_of_a_later_incarnation_is_used_at_once: |view| {
        view.remove_upstream(&id("a"), TimeMs(19_000));
        view.apply_restored_list(vec![restarted("a"), restarted("b")], TimeMs(20_000));
        assert_eq!(view.upstreams()[&id("a")], restarted("a"));
        assert_eq!(view.upstreams()[&id("b")], restarted("b"));
    }

    // Guards against a group that takes no requests until its leader writes its entry again.
    restored_membership_is_used_only_after_the_grace_period: |view| {
        view.apply_upstream(member("b", 0), TimeMs(19_500));
        view.apply_restored_list(vec![upstream("a"), upstream("b")], TimeMs(20_000));
        assert_eq!(view.upstreams()[&id("b")], member("b", 0));
        view.release_held(TimeMs(20_000 + EXPIRY_GRACE_MS));
        assert_eq!(view.upstreams()[&id("b")], upstream("b"));
    }

    entry_that_is_written_again_after_a_restore_is_used_at_once: |view| {
        view.apply_upstream(draining("b"), TimeMs(19_500));
        view.apply_restored_list(vec![upstream("a"), upstream("b")], TimeMs(20_000));
        view.apply_upstream(restarted("b"), TimeMs(19_500));
        assert_eq!(view.upstreams()[&id("b")], restarted("b"));
        assert_eq!(view.release_held(TimeMs(30_000)), ViewChange::Same);
    }

    // Guards against requests to an upstream that exits: a write that is executed late makes it ready again.
    late_entry_does_not_end_a_drain: |view| {
        view.apply_upstream(written(draining("b"), 12), TimeMs(19_000));
        let late = view.apply_upstream(written(upstream("b"), 9), TimeMs(20_000));
        assert_eq!(late, ViewChange::Older);
        assert!(view.upstreams()[&id("b")].is_draining());
        view.release_held(TimeMs(60_000));
        assert!(view.upstreams()[&id("b")].is_draining());
        assert_eq!(view.take_outdated().len(), 1);
    }

    // Guards against the same write in a list, which is read from another source.
    late_entry_of_a_list_does_not_end_a_drain: |view| {
        view.apply_upstream(written(draining("b"), 12), TimeMs(19_000));
        for is_after_outage in [false, true] {
            let list = vec![written(upstream("a"), 3), written(upstream("b"), 9)];
            view.apply_list(list, is_after_outage, TimeMs(20_000));
            assert!(view.upstreams()[&id("b")].is_draining());
        }
    }

    // Guards against a copy of the store that makes a draining upstream ready again.
    late_entry_of_a_restored_list_does_not_end_a_drain: |view| {
        view.apply_upstream(written(draining("b"), 12), TimeMs(19_000));
        view.apply_restored_list(vec![upstream("a").into(), written(upstream("b"), 9)], TimeMs(20_000));
        view.release_held(TimeMs(60_000));
        assert!(view.upstreams()[&id("b")].is_draining());
    }

    // Guards against an upstream that has left and is used again.
    late_entry_does_not_bring_back_an_upstream_that_was_removed: |view| {
        view.apply_upstream(written(draining("b"), 12), TimeMs(19_000));
        view.remove_upstream(&id("b"), TimeMs(19_500));
        assert_eq!(view.apply_upstream(written(upstream("b"), 9), TimeMs(20_000)), ViewChange::Older);
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    // Guards against a leader of an open group that counts as free.
    late_entry_takes_no_member_out_of_its_group: |view| {
        view.apply_upstream(written(member("b", 0), 12), TimeMs(19_000));
        view.apply_upstream(written(upstream("b"), 9), TimeMs(20_000));
        assert_eq!(view.upstreams()[&id("b")], member("b", 0));
    }

    // An upstream whose entry expired while it was cut off from the store writes it again.
    removed_upstream_that_writes_again_is_used: |view| {
        view.apply_upstream(written(member("b", 0), 12), TimeMs(18_000));
        view.remove_upstream(&id("b"), TimeMs(19_000));
        view.apply_upstream(written(upstream("b"), 16), TimeMs(20_000));
        assert_eq!(view.upstreams()[&id("b")], upstream("b"));
    }

    upstream_that_starts_again_counts_anew: |view| {
        view.apply_upstream(written(draining("b"), 12), TimeMs(19_000));
        assert_eq!(view.apply_upstream(written(restarted("b"), 1), TimeMs(20_000)), ViewChange::Changed);
        assert_eq!(view.upstreams()[&id("b")], restarted("b"));
    }

    // Guards against a live upstream that is taken for the dead process before it.
    late_entry_of_an_earlier_incarnation_is_replaced_by_the_next_heartbeat: |view| {
        view.apply_upstream(written(upstream("b"), 12), TimeMs(18_000));
        view.apply_upstream(written(restarted("b"), 1), TimeMs(19_000));
        view.apply_upstream(written(upstream("b"), 14), TimeMs(20_000));
        assert_eq!(view.upstreams()[&id("b")], restarted("b"));
        view.apply_upstream(written(restarted("b"), 2), TimeMs(21_200));
        view.release_held(TimeMs(60_000));
        assert_eq!(view.upstreams()[&id("b")], restarted("b"));
    }

    // Guards against a live upstream that stays unknown, since a gateway first read the late entry of the process
    // before it.
    entry_of_an_incarnation_that_is_not_written_over_is_used_after_the_hold: |view| {
        view.apply_upstream(written(upstream("b"), 3), TimeMs(18_000));
        view.apply_upstream(written(restarted("b"), 40), TimeMs(19_000));
        view.apply_upstream(written(upstream("b"), 4), TimeMs(20_000));
        let list = || vec![written(upstream("a"), 1), written(upstream("b"), 4)];
        view.apply_list(list(), false, TimeMs(21_000));
        assert_eq!(view.upstreams()[&id("b")], restarted("b"));
        assert_eq!(view.release_held(TimeMs(20_000 + EXPIRY_GRACE_MS)), ViewChange::Changed);
        assert_eq!(view.upstreams()[&id("b")], upstream("b"));
        view.apply_list(list(), false, TimeMs(25_000));
        assert_eq!(view.upstreams()[&id("b")], upstream("b"));
    }

    // Guards against live upstreams that are dropped since they are newer than the copy.
    upstream_that_the_restored_list_lacks_is_kept_for_the_grace_period: |view| {
        view.apply_restored_list(vec![upstream("a")], TimeMs(20_000));
        assert!(view.upstreams().contains_key(&id("b")));
        assert_eq!(view.remove_after_expiry_grace(TimeMs(20_000 + AFTER_GRACE_MS)), vec![id("b")]);
    }
}

/// A cold upstream writes another rest of its warm-up with each heartbeat. A service that limits nothing then
/// needs no new view for it.
#[test]
fn rest_of_a_warm_up_changes_no_view_of_a_service_without_a_limit() {
    let service = Service {
        id: "service".parse().expect("valid name"),
        health_path: "/health".to_owned(),
        max_connections: 10,
        engine: None,
        warm_up: None,
    };
    let warming = |left_ms| Upstream {
        warm_up_left_ms: Some(left_ms),
        ..upstream("a")
    };
    let mut view = FleetView::default();
    let limits = CallerLimits::default();
    let with_service = |version, service| {
        let services = vec![service];
        FleetConfig::new(
            ConfigVersion(version),
            Vec::new(),
            services,
            Vec::new(),
            limits,
        )
    };
    view.apply_config(with_service(1, service.clone()));
    assert_eq!(
        view.apply_upstream(warming(3_000), TimeMs(1)),
        ViewChange::Changed
    );
    assert_eq!(
        view.apply_upstream(warming(1_800), TimeMs(1)),
        ViewChange::Same
    );
    let left_ms = |view: &FleetView| view.upstreams().values().next().map(|a| a.warm_up_left_ms);
    assert_eq!(left_ms(&view), Some(Some(1_800)), "the newest one is kept");
    let limited = Service {
        warm_up: Some(WarmUp {
            duration_ms: 3_000,
            max_per_s: PerSecond(17.0),
        }),
        ..service
    };
    view.apply_config(with_service(2, limited));
    assert_eq!(
        view.apply_upstream(warming(600), TimeMs(1)),
        ViewChange::Changed
    );
}
