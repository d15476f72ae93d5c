//! State that the node's threads share, each part under its own lock.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use jacinthpoint_membership::PeerTable;
use jacinthpoint_platform::{Platform, PlatformMember};
use jacinthpoint_readiness::PermitTable;
use jacinthpoint_records::Config;
use jacinthpoint_types::{GroupId, NodeId, Revision, TimeMs};
use jacinthpoint_wire::PeerState;

use crate::{
    clock::{Clock, unix_now_ms},
    control::Domains,
    drain::Drain,
    metrics::Metrics,
    settings::NodeSettings,
};

/// Shards of the in-flight counts.
const IN_FLIGHT_SHARDS: usize = 16;
/// How often a sleeping thread looks whether the node stops.
const SLEEP_STEP_MS: u64 = 20;

/// A configuration with the text that other nodes ask for.
#[derive(Debug)]
pub(crate) struct ConfigInForce {
    pub(crate) config: Config,
    pub(crate) records_json: String,
}

/// State of one node.
pub(crate) struct Shared {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) drain: Arc<Drain>,
    pub(crate) metrics: Metrics,
    pub(crate) platform: Platform,
    pub(crate) incarnation: u64,
    pub(crate) domains: Domains,
    stopped: AtomicBool,
    config: RwLock<Option<Arc<ConfigInForce>>>,
    members: RwLock<Arc<Vec<PlatformMember>>>,
    peers: Mutex<PeerTable>,
    permits: Mutex<PermitTable>,
    in_flight: [Mutex<BTreeMap<GroupId, u32>>; IN_FLIGHT_SHARDS],
}

impl Shared {
    pub(crate) fn new(settings: NodeSettings, metrics: Metrics) -> Shared {
        Shared {
            clock: Clock::new(),
            drain: Arc::new(Drain::default()),
            metrics,
            platform: Platform::new(settings.platform),
            incarnation: unix_now_ms(),
            domains: Domains::default(),
            stopped: AtomicBool::new(false),
            config: RwLock::default(),
            members: RwLock::default(),
            peers: Mutex::default(),
            permits: Mutex::default(),
            in_flight: Default::default(),
            settings,
        }
    }

    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// Sleeps, but not beyond the node's stop.
    pub(crate) fn sleep_ms(&self, ms: u64) {
        let until = self.now().plus_ms(ms);
        while !self.is_stopped() {
            let left = until.since_ms(self.now());
            if left == 0 {
                return;
            }
            thread::sleep(Duration::from_millis(left.min(SLEEP_STEP_MS)));
        }
    }

    pub(crate) fn config(&self) -> Option<Arc<ConfigInForce>> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn revision(&self) -> Revision {
        self.config()
            .map_or(Revision(0), |in_force| in_force.config.revision)
    }

    /// Puts a configuration in force unless a newer one is; tells whether it did.
    pub(crate) fn put_in_force(&self, new: ConfigInForce) -> bool {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let current = config.as_ref().map(|in_force| in_force.config.revision);
        if current.is_some_and(|current| current >= new.config.revision) {
            return false;
        }
        *config = Some(Arc::new(new));
        true
    }

    pub(crate) fn members(&self) -> Arc<Vec<PlatformMember>> {
        self.members
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub(crate) fn set_members(&self, members: Vec<PlatformMember>) {
        *self.members.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(members);
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn permits(&self) -> MutexGuard<'_, PermitTable> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// This node's word on itself.
    pub(crate) fn own_state(&self) -> PeerState {
        PeerState {
            node: self.settings.name.clone(),
            incarnation: self.incarnation,
            address: self.settings.peers_address(),
            data_centre: self.settings.data_centre.clone(),
            leaving: self.drain.is_draining(),
            revision: self.revision(),
        }
    }

    /// Live nodes ranked for a piece of work, this one among them unless it is leaving.
    pub(crate) fn ranked_nodes(&self, work: &str) -> Vec<NodeId> {
        let now = self.now();
        let mut live: Vec<NodeId> = self
            .peers()
            .live(now)
            .map(|state| state.node.clone())
            .collect();
        live.retain(|node| node != &self.settings.name);
        if !self.drain.is_draining() {
            live.push(self.settings.name.clone());
        }
        jacinthpoint_types::ranked(work, &live)
            .into_iter()
            .cloned()
            .collect()
    }

    /// This node's place in the ranking for a piece of work, from 0.
    pub(crate) fn own_rank(&self, work: &str) -> Option<usize> {
        self.ranked_nodes(work)
            .iter()
            .position(|node| node == &self.settings.name)
    }

    /// Requests that this node has in flight on a group.
    pub(crate) fn in_flight_on(&self, group: &GroupId) -> u32 {
        self.in_flight_shard(group).get(group).copied().unwrap_or(0)
    }

    /// Counts a request on a group until the result is dropped.
    pub(crate) fn enter_group(&self, group: &GroupId) -> GroupInFlight<'_> {
        *self
            .in_flight_shard(group)
            .entry(group.clone())
            .or_default() += 1;
        GroupInFlight {
            shared: self,
            group: group.clone(),
        }
    }

    fn in_flight_shard(&self, group: &GroupId) -> MutexGuard<'_, BTreeMap<GroupId, u32>> {
        let hash = jacinthpoint_types::rank("in-flight", group.as_str());
        let shard = &self.in_flight[hash as usize % IN_FLIGHT_SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One request in flight on a group.
pub(crate) struct GroupInFlight<'a> {
    shared: &'a Shared,
    group: GroupId,
}

impl Drop for GroupInFlight<'_> {
    fn drop(&mut self) {
        let mut shard = self.shared.in_flight_shard(&self.group);
        if let Some(count) = shard.get_mut(&self.group) {
            *count -= 1;
            if *count == 0 {
                shard.remove(&self.group);
            }
        }
    }
}
