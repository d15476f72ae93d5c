//! What a gateway knows of its fleet: the configuration in force, the upstreams that serve, and
//! the replica groups that they form.
//!
//! Upstreams hold the group that they are in and publish it, so a group is what its members say of
//! themselves. A gateway that lost everything learns all groups again by reading the list of
//! upstreams. This crate does no I/O.

pub use crate::{
    config::{
        CallerLimits, ConfigVersion, Engine, FleetConfig, ModelSpec, Organisation, RequestKind,
        Route, RouteMatch, Service, WeightedService,
    },
    group::{Group, groups_of},
    order::{Order, OrderAction, OrderAnswer},
    source::{MAX_RELAYED_AGE_MS, Recovery, SourceTracker},
    upstream::{GroupState, Membership, Upstream, UpstreamState},
    view::{EXPIRY_GRACE_MS, FleetView, MIN_OUTAGE_MS, UNLISTED_MS, ViewChange},
};

mod config;
mod group;
mod order;
mod source;
mod upstream;
mod view;
