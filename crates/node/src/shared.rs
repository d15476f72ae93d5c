//! Holds the state that the node's threads share. Each part has a lock of its own.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, RwLock},
    time::{Duration, Instant},
};

use jacinthpoint_membership::Membership;
use jacinthpoint_platform::{Platform, PlatformMember};
use jacinthpoint_readiness::{GrantCache, PermitClient, PermitTable};
use jacinthpoint_records::Config;
use jacinthpoint_types::{GroupId, NodeId, Revision, TimeMs};
use jacinthpoint_wire::PeerState;
use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    caller::{Gates, LimitState, Retries},
    clock::{Clock, unix_now_ms},
    control::{Domains, MemberLists},
    drain::Drain,
    events::log_event,
    ledger::{SharedRunTable, SlotOwner},
    metrics::Metrics,
    settings::NodeSettings,
};

/// Number of shards of the in-flight counts, each with a lock of its own.
const IN_FLIGHT_SHARDS: usize = 16;
/// Number of configurations kept, so that a node that is a few revisions behind can be sent only
/// the changes.
const MAX_CONFIGS: usize = 16;

/// Holds a checked configuration and the records from which it was made.
#[derive(Debug)]
pub(crate) struct CheckedConfig {
    pub(crate) config: Config,
    /// The records in JSON, as the platform holds them.
    pub(crate) records: Vec<String>,
}

/// Holds the state of one node.
pub(crate) struct Shared {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) drain: Arc<Drain>,
    pub(crate) metrics: Metrics,
    pub(crate) platform: Platform,

    pub(crate) domains: Domains,
    pub(crate) limits: LimitState,
    pub(crate) gates: Gates,
    stopped: Mutex<bool>,
    stop_signal: Condvar,
    /// State as a ledger owner: the records of requests with an idempotency key, divided into slots
    /// by key.
    pub(crate) ledger: SlotOwner,
    /// Claims that this node made on requests with an idempotency key, and the state of their runs.
    pub(crate) runs: SharedRunTable,
    pub(crate) retries: Retries,
    /// Configurations in the order in which they were put in force. The last one is in force.
    configs: RwLock<VecDeque<Arc<CheckedConfig>>>,
    member_lists: Mutex<MemberLists>,
    peers: Mutex<Membership>,
    permits: Mutex<PermitTable>,
    grant_cache: Mutex<GrantCache>,
    permit_client: Mutex<PermitClient>,
    /// Number of this node's requests in flight by group. A service's server is counted like a
    /// group, under the name of its VM; see `select::in_flight_key`.
    in_flight: [Mutex<BTreeMap<GroupId, u32>>; IN_FLIGHT_SHARDS],
}

impl Shared {
    pub(crate) fn new(settings: NodeSettings, metrics: Metrics) -> Shared {
        let own = PeerState {
            node: settings.name.clone(),
            incarnation: unix_now_ms(),
            address: settings.advertised_peers_address(),
            data_centre: settings.data_centre.clone(),
            leaving: false,
            revision: Revision(0),
        };
        let rng = SmallRng::from_os_rng();
        let clock = Clock::new();
        let permit_client = PermitClient::new(settings.name.clone(), settings.data_centre.clone());
        Shared {
            clock,
            drain: Arc::new(Drain::default()),
            metrics,
            platform: Platform::new(settings.platform),

            domains: Domains::default(),
            limits: LimitState::new(settings.admission.limiter(), clock.now()),
            gates: Gates::default(),
            stopped: Mutex::new(false),
            stop_signal: Condvar::new(),
            ledger: SlotOwner::new(settings.ledger_batch_ms),
            runs: SharedRunTable::new(),
            retries: Retries::default(),
            configs: RwLock::default(),
            member_lists: Mutex::default(),
            peers: Mutex::new(Membership::new(own, rng)),
            permits: Mutex::default(),
            grant_cache: Mutex::default(),
            permit_client: Mutex::new(permit_client),
            in_flight: Default::default(),
            settings,
        }
    }

    /// Returns the time on the node's monotonic clock.
    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Makes the node's threads end. Threads in [`Shared::sleep_ms`] wake up at once.
    pub(crate) fn stop(&self) {
        *self.stopped.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.stop_signal.notify_all();
    }

    /// Begins the planned stop. Has no effect if it has begun already.
    pub(crate) fn begin_drain(&self) {
        let announce = Duration::from_millis(self.settings.drain_announce_ms);
        if self.drain.begin(Instant::now() + announce) {
            let in_flight = self.drain.in_flight();
            log_event!(
                info,
                DrainBegan,
                in_flight,
                "planned stop began, the node is no longer ready"
            );
        }
    }

    pub(crate) fn is_stopped(&self) -> bool {
        *self.stopped.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sleeps for `ms`, or until the node stops.
    pub(crate) fn sleep_ms(&self, ms: u64) {
        let stopped = self.stopped.lock().unwrap_or_else(PoisonError::into_inner);
        let timeout = Duration::from_millis(ms);
        let slept = self
            .stop_signal
            .wait_timeout_while(stopped, timeout, |stopped| !*stopped);
        drop(slept);
    }

    /// Returns the configuration in force, if there is one yet.
    pub(crate) fn config(&self) -> Option<Arc<CheckedConfig>> {
        self.configs
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .back()
            .cloned()
    }

    /// Returns the configuration with this revision, if it was in force on this node and is still
    /// kept.
    pub(crate) fn past_config(&self, revision: Revision) -> Option<Arc<CheckedConfig>> {
        let configs = self.configs.read().unwrap_or_else(PoisonError::into_inner);
        configs
            .iter()
            .find(|kept| kept.config.revision == revision)
            .cloned()
    }

    /// Returns the revision in force, 0 if there is no configuration yet.
    pub(crate) fn revision(&self) -> Revision {
        self.config()
            .map_or(Revision(0), |in_force| in_force.config.revision)
    }

    /// Puts a configuration in force, unless the one in force is as new or newer. Returns whether
    /// it was put in force.
    pub(crate) fn put_in_force(&self, new: CheckedConfig) -> bool {
        let mut configs = self.configs.write().unwrap_or_else(PoisonError::into_inner);
        let current = configs.back().map(|in_force| in_force.config.revision);
        if current.is_some_and(|current| current >= new.config.revision) {
            return false;
        }
        configs.push_back(Arc::new(new));
        if configs.len() > MAX_CONFIGS {
            configs.pop_front();
        }
        true
    }

    /// Returns the newest known membership list, which is empty before the first read.
    pub(crate) fn members(&self) -> Arc<Vec<PlatformMember>> {
        self.member_lists().members()
    }

    pub(crate) fn member_lists(&self) -> MutexGuard<'_, MemberLists> {
        self.member_lists
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn peers(&self) -> MutexGuard<'_, Membership> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn permits(&self) -> MutexGuard<'_, PermitTable> {
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn permit_client(&self) -> MutexGuard<'_, PermitClient> {
        self.permit_client
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn grant_cache(&self) -> MutexGuard<'_, GrantCache> {
        self.grant_cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the live nodes ranked for a task, including this node unless it is leaving.
    pub(crate) fn ranked_nodes(&self, task: &str) -> Vec<NodeId> {
        let mut live: Vec<NodeId> = self
            .peers()
            .live()
            .map(|state| state.node.clone())
            .collect();
        if !self.drain.is_draining() {
            live.push(self.settings.name.clone());
        }
        jacinthpoint_types::rendezvous_order(task, &live)
            .into_iter()
            .cloned()
            .collect()
    }

    /// Returns this node's rank for a task, from 0, or `None` if it is leaving.
    pub(crate) fn own_rank(&self, task: &str) -> Option<usize> {
        self.ranked_nodes(task)
            .iter()
            .position(|node| node == &self.settings.name)
    }

    /// Returns the number of requests that this node has in flight on a group, or on a server by
    /// its `select::in_flight_key`.
    pub(crate) fn in_flight_on(&self, group: &GroupId) -> u32 {
        self.in_flight_shard(group).get(group).copied().unwrap_or(0)
    }

    /// Counts a request as in flight on a group, or on a server by its `select::in_flight_key`,
    /// until the returned guard is dropped.
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
        let hash = jacinthpoint_types::rendezvous_weight("in-flight", group.as_str());
        let shard = &self.in_flight[hash as usize % IN_FLIGHT_SHARDS];
        shard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that counts one request as in flight on a group.
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
