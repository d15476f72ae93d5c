//! What all tasks of a gateway share. They run on one thread, so cells take the place of locks; no
//! borrow is held across an await.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
};

use jacinthpoint_dispatch::{DemandMeter, Directory, FleetBudget, LoadBook, Target, TargetKey};
use jacinthpoint_fleet::{FleetConfig, FleetView, ViewChange};
use jacinthpoint_types::{ServiceId, TimeMs, VmId};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::{net::UdpSocket, sync::watch};

use crate::{
    clock::Clock, events::log_event, load_exchange::LoadExchange, metrics::Metrics, pool::Pool,
    relay::Relay, roster::Roster, settings::GatewaySettings,
};

/// Gateways that are assumed until the roster is known: more than there are, so that the shared
/// budget is not overdrawn.
const ASSUMED_GATEWAYS: usize = 64;

/// The configuration with the index over the upstreams, both of one view.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub(crate) config: Arc<FleetConfig>,
    pub(crate) directory: Directory,
}

/// How far the process has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// It is to stop: no longer ready, but callers may still arrive.
    Leaving,
    /// Connections close as soon as they have no request.
    Closing,
}

/// Evidence of faults that calls gather for the owner of the groups.
#[derive(Debug, Default)]
pub(crate) struct FaultReports {
    /// Members of groups that make no progress.
    pub(crate) stalled_members: BTreeSet<VmId>,
}

/// The shared state.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) clock: Clock,
    settings: RefCell<Rc<GatewaySettings>>,
    pub(crate) view: RefCell<FleetView>,
    snapshot: RefCell<Option<Rc<Snapshot>>>,
    pub(crate) loads: RefCell<LoadBook>,
    pub(crate) budgets: RefCell<BTreeMap<ServiceId, FleetBudget>>,
    pub(crate) pool: Rc<Pool>,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) metrics: Metrics,
    pub(crate) gateway_count: Cell<usize>,
    pub(crate) roster: Roster,
    pub(crate) relay: Relay,
    /// The gateway that gives orders, as last seen.
    pub(crate) owner: RefCell<Option<String>>,
    /// When word of each silent target was last sent.
    pub(crate) stall_reported_at: RefCell<BTreeMap<TargetKey, TimeMs>>,
    /// Socket for datagrams, if the settings name an address for other gateways.
    pub(crate) peers_socket: RefCell<Option<Rc<UdpSocket>>>,
    pub(crate) load_exchange: LoadExchange,
    pub(crate) has_traffic: Cell<bool>,
    pub(crate) demand: RefCell<DemandMeter>,
    pub(crate) fault_reports: RefCell<FaultReports>,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) open_requests: Cell<usize>,
    pub(crate) open_connections: Cell<usize>,
}

impl Gateway {
    /// The state at the start.
    pub(crate) fn new(settings: GatewaySettings) -> Gateway {
        Gateway {
            clock: Clock::new(),
            settings: RefCell::new(Rc::new(settings)),
            view: RefCell::default(),
            snapshot: RefCell::default(),
            loads: RefCell::default(),
            budgets: RefCell::default(),
            pool: Rc::default(),
            rng: RefCell::new(SmallRng::from_os_rng()),
            metrics: Metrics::default(),
            gateway_count: Cell::new(ASSUMED_GATEWAYS),
            roster: Roster::default(),
            relay: Relay::default(),
            owner: RefCell::default(),
            stall_reported_at: RefCell::default(),
            peers_socket: RefCell::default(),
            load_exchange: LoadExchange::default(),
            has_traffic: Cell::new(false),
            demand: RefCell::default(),
            fault_reports: RefCell::default(),
            phase: watch::Sender::new(Phase::Serving),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
        }
    }

    /// The time now.
    pub(crate) fn now(&self) -> TimeMs {
        self.clock.now()
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        self.settings.borrow().clone()
    }

    /// Puts other settings in force.
    pub(crate) fn replace_settings(&self, settings: GatewaySettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// The newest snapshot; `None` before there is a configuration.
    pub(crate) fn snapshot(&self) -> Option<Rc<Snapshot>> {
        self.snapshot.borrow().clone()
    }

    /// Whether it gives the orders, as far as it knows.
    pub(crate) fn is_owner(&self) -> bool {
        self.owner.borrow().as_deref() == Some(self.settings().name.as_str())
    }

    /// Whether it can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving && self.view.borrow().is_complete()
    }

    /// Builds the snapshot anew after a change of the view.
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
        let directory = Directory::new(config, view.upstreams(), view.unlisted(), data_centre);
        self.log_groups(&directory);
        self.loads.borrow_mut().retain(directory.targets());
        let known: BTreeSet<_> = directory
            .targets()
            .map(|target| target.key.clone())
            .collect();
        self.stall_reported_at
            .borrow_mut()
            .retain(|key, _| known.contains(key));
        let snapshot = Snapshot {
            config: config.clone(),
            directory,
        };
        *self.snapshot.borrow_mut() = Some(Rc::new(snapshot));
    }

    fn log_groups(&self, next: &Directory) {
        fn groups(directory: &Directory) -> BTreeMap<TargetKey, Arc<Target>> {
            let groups = directory.targets().filter(|target| target.group.is_some());
            groups
                .map(|target| (target.key.clone(), target.clone()))
                .collect()
        }
        let known = self
            .snapshot
            .borrow()
            .as_ref()
            .map(|s| groups(&s.directory));
        let (known, next) = (known.unwrap_or_default(), groups(next));
        let model = |target: &Target| target.group.as_ref().map(|group| group.model.to_string());
        for (key, target) in &next {
            if !known.contains_key(key) {
                log_event!(info, GroupChanged, group = %key, head = %target.upstream,
                    model = model(target), is_open = true, "a group takes requests");
            }
        }
        for (key, target) in known.iter().filter(|(key, _)| !next.contains_key(*key)) {
            log_event!(info, GroupChanged, group = %key, model = model(target), is_open = false,
                "a group takes no more requests");
        }
    }
}
