//! State that a gateway keeps of its fleet: the configuration in force, the upstreams, and the
//! replica groups that the upstreams form.
//!
//! Each upstream publishes an entry in the store, which also names the group that the upstream is a
//! member of. Groups are assembled from the entries of their members. A gateway that restarts
//! without any state recovers all groups by reading the list of upstreams. This crate does no I/O.

pub use crate::{
    config::{
        CallerLimits, ConfigVersion, Engine, FleetConfig, ModelSpec, Organisation, RequestKind,
        Route, RouteMatch, Service, WarmUp, WeightedService,
    },
    evacuation::{EvacuationChange, Evacuations, RESTORED_EVACUATION_HOLD_MS},
    group::{Group, groups_of},
    history::{Continuity, HistoryPosition, StoreEra},
    home::{DataCentreRegion, Homes, ParseRegionError, Region, Regions},
    order::{Order, OrderAction, OrderAnswer},
    roles::{
        RegisteredGateway, StoreReading, VmCapacity, assign_load_hubs, assign_store_reading,
        is_lease_candidate, role_order, takeover_ms,
    },
    source::{MAX_RELAYED_AGE_MS, SourceTracker, StoreUnavailability},
    upstream::{EntryNumber, GroupState, Membership, Upstream, UpstreamState, WrittenEntry},
    view::{
        EXPIRY_GRACE_MS, FleetView, MIN_OUTAGE_MS, OutdatedEntry, REMOVED_HOLD_MS, UNLISTED_MS,
        ViewChange,
    },
};

mod config;
mod evacuation;
mod group;
mod history;
mod home;
mod order;
mod roles;
mod source;
mod upstream;
mod view;
