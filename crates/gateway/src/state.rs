//! State that all tasks of a gateway share.
//!
//! The tasks run on one thread, so the state uses cells instead of locks. No borrow may be held
//! across an await.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
};

use jacinthpoint_dispatch::{
    CrashNotices, Directory, FleetRetryBudget, LoadTracker, Quarantine, RequestDurations,
    RoomLines, SlackShare, Target, TargetKey, UpstreamLimits, UpstreamReach,
};
use jacinthpoint_fleet::{CallerLimits, FleetConfig, FleetView, ViewChange};
use jacinthpoint_types::{DataCentreId, ServiceId, TimeMs, VmId};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{net::UdpSocket, sync::watch};

use crate::{
    capacity_exchange::CapacityExchange, clock::Clock, events::log_event,
    excluded_peers::ExcludedPeers, limit_exchange::LimitExchange, load_exchange::LoadExchange,
    memory::Memory, metrics::Metrics, pauses::Pauses, pool::Pool, refused_entries::RefusedEntries,
    relay::Relay, roster::Roster, settings::GatewaySettings, view_positions::ViewPositions,
    warm_ups::WarmUpExchange,
};

/// A time that no gateway reaches, from which a window can still be added.
const NEVER: TimeMs = TimeMs(u64::MAX / 2);

/// A configuration and the directory of targets, both built from the same view of the fleet.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub(crate) config: Arc<FleetConfig>,
    pub(crate) directory: Directory,
    /// Time of the change of the view that it was built after.
    pub(crate) built_at: TimeMs,
}

/// Phase of the process, from serving to shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The gateway serves callers.
    Serving,
    /// The gateway is stopping and reports itself as not ready, but still accepts requests.
    Leaving,
    /// The same, and each connection closes after its next answer, which says so.
    Closing,
    /// The same, and connections without a request end.
    EndingIdle,
    /// New requests are refused.
    Refusing,
    /// The gateway accepts no connections, and answers all requests that are still open as failed.
    Ending,
    /// The process exits, and the system closes all connections that are still open.
    Exiting,
}

/// Suspected faults found by requests and alarms. A gateway that holds the lease checks them by
/// probes; the others discard them.
#[derive(Debug, Default)]
pub(crate) struct FaultReports {
    /// Members of stalled groups, and members that their group named as faulty.
    pub(crate) suspected_members: BTreeSet<VmId>,
}

/// Counts a connection as open until dropped, also if its task panics. A planned stop waits for open
/// connections.
pub(crate) struct OpenConnectionGuard(Rc<Gateway>);

impl OpenConnectionGuard {
    pub(crate) fn new(gateway: &Rc<Gateway>) -> OpenConnectionGuard {
        let open = &gateway.open_connections;
        open.set(open.get() + 1);
        OpenConnectionGuard(gateway.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let open = &self.0.open_connections;
        open.set(open.get() - 1);
    }
}

/// State of a gateway, shared by all its tasks.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) clock: Clock,
    pub(crate) pauses: Pauses,
    pub(crate) started_at: TimeMs,
    settings: RefCell<Rc<GatewaySettings>>,
    pub(crate) view: RefCell<FleetView>,
    /// How far the view has the history of the store.
    pub(crate) view_positions: ViewPositions,
    snapshot: RefCell<Option<Rc<Snapshot>>>,
    pub(crate) loads: RefCell<LoadTracker>,
    /// Limits that upstreams name.
    pub(crate) limits: RefCell<UpstreamLimits>,
    /// Requests, and parts of prompts, that crash upstreams.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Crashes of upstreams that this gateway noticed lately.
    pub(crate) crash_notices: RefCell<CrashNotices>,
    /// Whether this gateway reaches upstreams.
    pub(crate) reach: RefCell<UpstreamReach>,
    /// Gateways that did not take a forwarded request.
    pub(crate) cut_peers: ExcludedPeers,
    /// Retry budgets by service.
    pub(crate) budgets: RefCell<BTreeMap<ServiceId, FleetRetryBudget>>,
    /// Work and waiting requests by model, for services whose requests have different priorities.
    pub(crate) room: Rc<RefCell<RoomLines>>,
    /// Recent durations of requests, by route.
    pub(crate) durations: RefCell<RequestDurations>,
    /// Time from which requests without an answer are answered as failed; `None` before a stop.
    pub(crate) ends_at: Cell<Option<TimeMs>>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) metrics: Metrics,
    /// Number of registered gateways, by which the shared retry budget is divided; `None` until the
    /// roster is known.
    pub(crate) gateway_count: Cell<Option<usize>>,
    /// Time by which all other gateways count this one; in the far future until it is registered.
    pub(crate) counted_by: Cell<TimeMs>,
    /// Set if the whole fleet starts for the first time, this is the gateway's first process, and the
    /// store accepted its registration at once.
    pub(crate) is_first_life: Cell<bool>,
    pub(crate) roster: Roster,
    /// Entries of other writers that could not be used.
    pub(crate) refused_entries: RefusedEntries,
    pub(crate) relay: Relay,
    /// Name of the gateway that holds the lease and sends orders, as last read from the store or
    /// set when this gateway gained the lease.
    pub(crate) owner: RefCell<Option<String>>,
    /// Time of the last report to other gateways that a target is stalled.
    pub(crate) stall_reported_at: RefCell<BTreeMap<TargetKey, TimeMs>>,
    /// Socket for datagrams; `None` if the settings configure no address for other gateways.
    pub(crate) peers_socket: RefCell<Option<Rc<UdpSocket>>>,
    pub(crate) load_exchange: LoadExchange,
    pub(crate) limit_exchange: LimitExchange,
    pub(crate) capacity_exchange: CapacityExchange,
    /// Cold upstreams and the limits on requests to them.
    pub(crate) warm_ups: WarmUpExchange,
    /// Set once the gateway has received a request.
    pub(crate) has_traffic: Cell<bool>,
    pub(crate) fault_reports: RefCell<FaultReports>,
    pub(crate) phase: watch::Sender<Phase>,
    /// Limits on callers' requests and connections in force.
    pub(crate) caller_limits: watch::Sender<CallerLimits>,
    pub(crate) open_requests: Cell<usize>,
    pub(crate) open_connections: Cell<usize>,
    /// Time of the last log event on a connection above the limit.
    pub(crate) surplus_logged_at: Cell<TimeMs>,
    /// Number of open listeners, for callers and for other gateways.
    pub(crate) open_listeners: Cell<usize>,
    /// Number of requests that the planned stop has cut.
    pub(crate) cut_requests: Cell<usize>,
    /// Count of what connections, requests and answers hold.
    pub(crate) memory: Memory,
}

impl Gateway {
    /// Returns the initial state for a gateway with these settings.
    pub(crate) fn new(settings: GatewaySettings) -> Gateway {
        let clock = Clock::new();
        let roster = Roster::new(settings.name.as_str());
        let mut loads = LoadTracker::default();
        loads.capacities.set_enabled(settings.learns_capacity);
        let memory = Memory::new(settings.memory_mb);
        Gateway {
            started_at: clock.now(),
            pauses: Pauses::new(clock.now()),
            clock,
            settings: RefCell::new(Rc::new(settings)),
            view: RefCell::default(),
            view_positions: ViewPositions::default(),
            snapshot: RefCell::default(),
            loads: RefCell::new(loads),
            limits: RefCell::default(),
            quarantine: RefCell::default(),
            crash_notices: RefCell::default(),
            reach: RefCell::default(),
            cut_peers: ExcludedPeers::default(),
            budgets: RefCell::default(),
            room: Rc::default(),
            durations: RefCell::default(),
            ends_at: Cell::new(None),
            pool: Rc::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            metrics: Metrics::default(),
            gateway_count: Cell::default(),
            counted_by: Cell::new(NEVER),
            is_first_life: Cell::new(false),
            roster,
            refused_entries: RefusedEntries::default(),
            relay: Relay::default(),
            owner: RefCell::default(),
            stall_reported_at: RefCell::default(),
            peers_socket: RefCell::default(),
            load_exchange: LoadExchange::default(),
            limit_exchange: LimitExchange::default(),
            capacity_exchange: CapacityExchange::default(),
            warm_ups: WarmUpExchange::default(),
            has_traffic: Cell::new(false),
            fault_reports: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            caller_limits: watch::Sender::default(),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            surplus_logged_at: Cell::default(),
            open_listeners: Cell::new(0),
            cut_requests: Cell::new(0),
            memory,
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Waits until the gateway ends all requests that are still open.
    pub(crate) async fn wait_for_ending(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gateway.
        let _ = phase.wait_for(|phase| *phase >= Phase::Ending).await;
    }

    /// Replaces the settings in force.
    pub(crate) fn replace_settings(&self, settings: GatewaySettings) {
        let learns_capacity = settings.learns_capacity;
        self.loads
            .borrow_mut()
            .capacities
            .set_enabled(learns_capacity);
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns this gateway's share of the slack of each retry budget.
    pub(crate) fn slack_share(&self) -> SlackShare {
        let settings = self.settings();
        let usable_from = match self.is_first_life.get() {
            true => TimeMs::default(),
            false => {
                SlackShare::usable_from(self.started_at, self.counted_by.get(), &settings.repeats)
            }
        };
        SlackShare {
            gateways: self.gateway_count.get(),
            usable_from,
        }
    }

    /// Returns the newest snapshot; `None` before a configuration is loaded.
    pub(crate) fn snapshot(&self) -> Option<Rc<Snapshot>> {
        self.snapshot.borrow().clone()
    }

    /// Returns whether this gateway is the owner according to its last read of the lease.
    pub(crate) fn is_owner(&self) -> bool {
        self.owner.borrow().as_deref() == Some(self.settings().name.as_str())
    }

    /// Returns whether this gateway is serving and has a complete view of the fleet.
    pub(crate) fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving && self.view.borrow().is_complete()
    }

    /// Rebuilds the snapshot after a change of the view, and drops state of targets that are no
    /// longer in the directory.
    pub(crate) fn on_view_change(&self, change: ViewChange) {
        if change != ViewChange::Changed {
            return;
        }
        let view = self.view.borrow();
        let Some(config) = view.config() else {
            return;
        };
        let settings = self.settings();
        let data_centre = settings.data_centre.as_str();
        let directory = Directory::new(
            config,
            view.upstreams(),
            view.unlisted(),
            &view.evacuations,
            data_centre,
        );
        self.log_group_changes(&directory);
        let mut loads = self.loads.borrow_mut();
        loads.retain(directory.targets());
        if !loads.statements.is_empty() {
            for (id, upstream) in view.upstreams() {
                loads.statements.on_life(id, upstream.started_unix_ms);
            }
            let is_known = |id: &VmId| view.upstreams().contains_key(id);
            loads.statements.limit(is_known);
        }
        drop(loads);
        let evacuation_ended_at =
            |data_centre: &DataCentreId| view.evacuations.ended_at(data_centre);
        self.warm_ups.on_view(
            config,
            view.upstreams(),
            &directory,
            evacuation_ended_at,
            &self.metrics,
            self.now(),
        );
        let listed: BTreeSet<_> = directory
            .targets()
            .map(|target| target.key.clone())
            .collect();
        self.limits.borrow_mut().retain(
            |upstream| view.upstreams().contains_key(upstream),
            self.now(),
        );
        self.stall_reported_at
            .borrow_mut()
            .retain(|key, _| listed.contains(key));
        self.caller_limits.send_if_modified(|limits| {
            let is_changed = *limits != config.limits;
            *limits = config.limits;
            is_changed
        });
        let snapshot = Snapshot {
            config: config.clone(),
            directory,
            built_at: self.now(),
        };
        *self.snapshot.borrow_mut() = Some(Rc::new(snapshot));
        self.metrics.count("snapshots", "built");
    }

    /// Logs the groups that are only in `next`, and those that are only in the snapshot that it
    /// replaces.
    fn log_group_changes(&self, next: &Directory) {
        fn groups(directory: &Directory) -> BTreeMap<TargetKey, Arc<Target>> {
            let groups = directory.targets().filter(|target| target.group.is_some());
            groups
                .map(|target| (target.key.clone(), target.clone()))
                .collect()
        }
        let previous = self
            .snapshot
            .borrow()
            .as_ref()
            .map(|s| groups(&s.directory));
        let (previous, next) = (previous.unwrap_or_default(), groups(next));
        let model = |target: &Target| target.group.as_ref().map(|group| group.model.to_string());
        for (key, target) in &next {
            if !previous.contains_key(key) {
                log_event!(info, GroupChanged, group = %key, head = %target.upstream,
                    model = model(target), is_open = true, "a group takes requests from now on");
            }
        }
        for (key, target) in previous.iter().filter(|(key, _)| !next.contains_key(*key)) {
            log_event!(info, GroupChanged, group = %key, model = model(target), is_open = false,
                "a group takes no more requests");
        }
    }
}
