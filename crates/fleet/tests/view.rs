//! The view of the fleet over changes, outages and relists.

use std::net::SocketAddr;

use jacinthpoint_fleet::{
    CallerLimits, ConfigVersion, EXPIRY_GRACE_MS, FleetConfig, FleetView, GroupState, Membership,
    UNLISTED_MS, Upstream, UpstreamState, ViewChange,
};
use jacinthpoint_types::{TimeMs, VmId};

/// Time within which lapsed entries are back, from the users' letter.
const BACK_MS: u64 = 2_000;

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
        id: id.parse().expect("a name"),
        started_unix_ms: 1,
        service: "service".parse().expect("a name"),
        address: address_of(id),
        data_centre: "dc".parse().expect("a name"),
        state: UpstreamState::Ready,
        slots: 4,
        domain: None,
        staged: Vec::new(),
        model: None,
        membership: None,
        is_listed: true,
    }
}

/// Address of an upstream with a name of one letter.
fn address_of(id: &str) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::from(id.as_bytes()[0])))
}

/// An upstream in a group.
fn member(id: &str, rank: usize) -> Upstream {
    Upstream {
        membership: Some(Membership {
            group: "g1".parse().expect("a name"),
            epoch: 1,
            rank,
            state: GroupState::Ready,
        }),
        ..upstream(id)
    }
}

fn id(id: &str) -> VmId {
    id.parse().expect("a name")
}

/// A view with two upstreams.
fn view() -> FleetView {
    let mut view = FleetView::default();
    view.apply_config(config(5));
    view.apply_list(vec![upstream("a"), upstream("b")], false, TimeMs(10_000));
    view
}

macro_rules! views {
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

views! {
    older_configuration_is_dropped: |view| {
        assert_eq!(view.apply_config(config(3)), ViewChange::Older);
        assert_eq!(view.version(), ConfigVersion(5));
    }

    same_configuration_changes_nothing: |view| {
        assert_eq!(view.apply_config(config(5)), ViewChange::Same);
        assert_eq!(view.apply_config(config(9)), ViewChange::Changed);
    }

    missing_entry_is_gone_at_once: |view| {
        view.apply_list(vec![upstream("a")], false, TimeMs(11_000));
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    missing_entry_after_an_outage_is_kept_for_a_while: |view| {
        view.apply_list(vec![upstream("a")], true, TimeMs(20_000));
        assert!(view.upstreams().contains_key(&id("b")));
        assert!(view.end_expiry_grace(TimeMs(20_000 + EXPIRY_GRACE_MS - 1)).is_empty());
        assert_eq!(view.end_expiry_grace(TimeMs(20_000 + BACK_MS)), vec![id("b")]);
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    entry_that_comes_back_stays: |view| {
        view.apply_list(vec![upstream("a")], true, TimeMs(20_000));
        view.apply_upstream(upstream("b"));
        assert!(view.end_expiry_grace(TimeMs(30_000)).is_empty());
        assert!(view.upstreams().contains_key(&id("b")));
    }

    second_list_does_not_lengthen_the_grace: |view| {
        view.apply_list(vec![upstream("a")], true, TimeMs(20_000));
        view.apply_list(vec![upstream("a")], false, TimeMs(21_000));
        assert!(view.upstreams().contains_key(&id("b")));
        view.apply_list(vec![upstream("a")], false, TimeMs(20_000 + BACK_MS));
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    removal_that_happened_in_an_outage_is_kept_for_a_while: |view| {
        view.start_expiry_grace(&id("b"), TimeMs(20_000));
        assert!(view.upstreams().contains_key(&id("b")));
        assert_eq!(view.end_expiry_grace(TimeMs(20_000 + BACK_MS)), vec![id("b")]);
    }

    complete_only_with_both: |view| {
        assert!(view.is_complete());
        let mut empty = FleetView::default();
        assert!(!empty.is_complete());
        empty.apply_list(Vec::new(), false, TimeMs(1));
        assert!(!empty.is_complete());
    }

    member_that_drops_out_of_the_list_is_kept_for_its_group: |view| {
        view.apply_upstream(member("b", 1));
        view.remove_upstream(&id("b"), TimeMs(20_000));
        assert!(!view.upstreams().contains_key(&id("b")));
        assert!(!view.unlisted()[&id("b")].is_listed);
        view.apply_upstream(member("b", 1));
        assert!(view.unlisted().is_empty());
    }

    member_that_is_missing_in_a_list_is_kept_for_its_group: |view| {
        view.apply_upstream(member("b", 1));
        view.apply_list(vec![upstream("a")], false, TimeMs(20_000));
        assert!(view.unlisted().contains_key(&id("b")));
        let change = view.expire_unlisted(TimeMs(20_000 + UNLISTED_MS));
        assert_eq!(change, ViewChange::Changed);
        assert!(view.unlisted().is_empty());
    }

    // Callers' requests reach the head, which must get none once it is gone.
    head_that_drops_out_of_the_list_is_gone: |view| {
        view.apply_upstream(member("b", 0));
        view.remove_upstream(&id("b"), TimeMs(20_000));
        assert!(view.unlisted().is_empty());
    }

    leaving_member_that_drops_out_of_the_list_is_gone: |view| {
        let state = UpstreamState::Draining;
        view.apply_upstream(Upstream { state, ..member("b", 1) });
        view.remove_upstream(&id("b"), TimeMs(20_000));
        assert!(view.unlisted().is_empty());
    }

    member_whose_entry_cannot_be_read_is_gone: |view| {
        view.apply_upstream(member("b", 1));
        view.discard_unreadable(&id("b"));
        assert!(view.unlisted().is_empty());
        assert!(!view.upstreams().contains_key(&id("b")));
    }

    // Its host was given to another one: the member has ended.
    member_whose_address_is_used_again_is_gone: |view| {
        view.apply_upstream(member("b", 1));
        view.remove_upstream(&id("b"), TimeMs(20_000));
        view.apply_upstream(Upstream { address: address_of("b"), ..upstream("c") });
        assert!(view.unlisted().is_empty());
    }

    member_whose_address_is_used_again_in_a_list_is_gone: |view| {
        view.apply_upstream(member("b", 1));
        let successor = Upstream { address: address_of("b"), ..upstream("c") };
        view.apply_list(vec![upstream("a"), successor], false, TimeMs(20_000));
        assert!(view.unlisted().is_empty());
    }
}
