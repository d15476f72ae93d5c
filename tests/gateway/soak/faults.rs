//! Faults of a soak, and their log.

use std::{
    collections::BTreeSet,
    ops::Range,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::{
    EngineFault, PlainFault, PlainService, RequestLimits, StoreFault,
};
use rand::{
    Rng, SeedableRng,
    rngs::SmallRng,
    seq::{IndexedRandom, SliceRandom},
};
use serde_json::json;

use crate::gateway::{
    site::{KEY, OTHER_KEY, ROUTE_TIMEOUT_MS, STORE, Site, gateway_name},
    soak::{
        checks::SentRequest,
        history::{History, STABLE},
        size::{Reach, Size},
    },
};

/// Time after the end of a fault in which requests may still fail because of it.
const RECOVERY: Duration = Duration::from_secs(3);
/// Time within which a gateway must end after SIGTERM, and some time to see it.
const STOP_MS: u64 = 9_000;
/// Time after SIGTERM from which a gateway must not be ready.
const NOT_READY_AFTER: Duration = Duration::from_secs(4);
/// Pause between the end of a process and its restart where several are restarted, so that callers meet closed
/// ports, too.
const CLOSED_MS: u64 = 200;

/// Faults from which the seed selects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultMix {
    /// All faults.
    All,
    /// Only those that excuse no lost answer: stops, signals, configurations, and faults of the store and
    /// of links to it.
    Planned,
}

/// Requests whose answers may be lost because of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Affected {
    /// No request, as with planned changes and faults of the store.
    Nothing,
    /// Requests at these gateways.
    Gateways(Vec<usize>),
    /// Requests that engines serve.
    Streams,
    /// Requests that the plain service serves.
    Plain,
}

/// What cannot be held to bounds of time because of a fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Disturbed {
    Nothing,
    /// The store, and with it all gateways.
    Store,
    /// These gateways.
    Gateways(Vec<usize>),
}

/// A fault that began, and ended unless `ended_at` is `None`.
#[derive(Debug)]
struct FaultRecord {
    name: &'static str,
    affected: Affected,
    disturbed: Disturbed,
    began_at: Instant,
    ended_at: Option<Instant>,
}

#[derive(Debug)]
struct Records {
    started_at: Instant,
    faults: Vec<FaultRecord>,
    /// Gateways that were started again, and when.
    starts: Vec<(usize, Instant)>,
    /// Processes that got SIGTERM, by gateway and incarnation.
    stops: BTreeSet<(usize, usize)>,
}

impl Default for Records {
    fn default() -> Records {
        Records {
            started_at: Instant::now(),
            faults: Vec::new(),
            starts: Vec::new(),
            stops: BTreeSet::new(),
        }
    }
}

/// All faults of a soak so far.
#[derive(Debug, Clone, Default)]
pub struct FaultLog(Arc<Mutex<Records>>);

impl FaultLog {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a fault that begins now; returns its index.
    pub fn begin(&self, name: &'static str, affected: Affected, disturbed: Disturbed) -> usize {
        let mut records = self.records();
        records.faults.push(FaultRecord {
            name,
            affected,
            disturbed,
            began_at: Instant::now(),
            ended_at: None,
        });
        records.faults.len() - 1
    }

    pub fn end(&self, index: usize) {
        self.records().faults[index].ended_at = Some(Instant::now());
    }

    /// Returns the time from the begin of the soak to `at`.
    pub fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.records().started_at)
    }

    /// Returns one line for each fault: when it began and ended, and what it reached.
    pub fn timeline(&self) -> String {
        let records = self.records();
        let seconds = |at: Instant| (at - records.started_at).as_secs_f64();
        let lines = records.faults.iter().map(|fault| {
            let end = fault
                .ended_at
                .map_or("?".to_owned(), |at| format!("{:.3}", seconds(at)));
            format!(
                "{:.3} s to {end} s: {}, affected {:?}, disturbed {:?}\n",
                seconds(fault.began_at),
                fault.name,
                fault.affected,
                fault.disturbed
            )
        });
        lines.collect()
    }

    /// Records that a gateway starts again now.
    pub fn record_start(&self, gateway: usize) {
        self.records().starts.push((gateway, Instant::now()));
    }

    /// Returns the number of processes that got SIGTERM.
    pub fn stops(&self) -> usize {
        self.records().stops.len()
    }

    /// Returns whether a fault explains that a request that ends now got no whole answer.
    pub fn explains(&self, request: &SentRequest<'_>) -> bool {
        self.records().faults.iter().any(|fault| {
            let is_affected = match &fault.affected {
                Affected::Nothing => false,
                Affected::Gateways(gateways) => gateways.contains(&request.gateway),
                Affected::Streams => request.is_stream(),
                Affected::Plain => !request.is_stream(),
            };
            let has_recovered = fault
                .ended_at
                .is_some_and(|ended_at| ended_at + RECOVERY < request.sent_at);
            is_affected && !has_recovered
        })
    }

    /// Returns whether neither the store nor the gateway was disturbed during `time`, or in [`STABLE`]
    /// before it.
    pub fn is_in_touch(&self, gateway: usize, time: Range<Instant>) -> bool {
        !self.records().faults.iter().any(|fault| {
            let is_disturbed = match &fault.disturbed {
                Disturbed::Nothing => false,
                Disturbed::Store => true,
                Disturbed::Gateways(gateways) => gateways.contains(&gateway),
            };
            is_disturbed && fault.reaches(&time, STABLE)
        })
    }

    /// Returns whether a gateway was killed or paused after `begin`, or in [`STABLE`] before it.
    fn is_harmed(&self, gateway: usize, begin: Instant) -> bool {
        self.records().faults.iter().any(|fault| {
            let is_affected = match &fault.affected {
                Affected::Gateways(gateways) => gateways.contains(&gateway),
                _ => false,
            };
            is_affected && fault.reaches(&(begin..Instant::now()), STABLE)
        })
    }

    /// Returns whether the store was not disturbed at `at`, or in [`STABLE`] before it.
    pub fn is_store_stable(&self, at: Instant) -> bool {
        let faults = &self.records().faults;
        !faults
            .iter()
            .any(|fault| fault.disturbed == Disturbed::Store && fault.reaches(&(at..at), STABLE))
    }

    /// Returns whether streams were not affected during `time`, or in [`RECOVERY`] before it.
    pub fn are_streams_sound(&self, time: Range<Instant>) -> bool {
        let faults = &self.records().faults;
        !faults
            .iter()
            .any(|fault| fault.affected == Affected::Streams && fault.reaches(&time, RECOVERY))
    }

    /// Returns how many times a gateway had been started again by `at`.
    pub fn incarnation(&self, gateway: usize, at: Instant) -> usize {
        let records = self.records();
        let starts = records.starts.iter();
        starts
            .filter(|(started, started_at)| *started == gateway && *started_at <= at)
            .count()
    }
}

impl FaultRecord {
    /// Returns whether the fault, or the time `after` its end, overlaps `time`.
    fn reaches(&self, time: &Range<Instant>, after: Duration) -> bool {
        let is_over = self
            .ended_at
            .is_some_and(|ended_at| ended_at + after < time.start);
        self.began_at <= time.end && !is_over
    }
}

/// Function that ends a fault.
pub type EndFault = Box<dyn FnOnce(&mut Site)>;

/// A fault to start.
struct Fault {
    name: &'static str,
    affected: Affected,
    disturbed: Disturbed,
    /// Starts the fault; returns the function that ends it.
    start: Box<dyn FnOnce(&mut Site) -> EndFault>,
}

impl Fault {
    fn new(
        name: &'static str,
        affected: Affected,
        start: impl FnOnce(&mut Site) -> EndFault + 'static,
    ) -> Fault {
        let disturbed = match &affected {
            Affected::Gateways(gateways) => Disturbed::Gateways(gateways.clone()),
            _ => Disturbed::Nothing,
        };
        Fault {
            name,
            affected,
            disturbed,
            start: Box::new(start),
        }
    }

    fn disturbing(self, disturbed: Disturbed) -> Fault {
        Fault { disturbed, ..self }
    }
}

/// What the faults of one soak share.
#[derive(Clone)]
pub struct Faults {
    pub size: Size,
    pub mix: FaultMix,
    pub log: FaultLog,
    pub history: History,
}

impl Faults {
    /// Starts one random fault; returns the function that ends it.
    pub fn start(&self, site: &mut Site, rng: &mut SmallRng) -> EndFault {
        let fault = match self.size.reach {
            Reach::One => self.choose(site, rng),
            Reach::Several => self.choose_wide(site, rng),
        };
        let record = self.log.begin(fault.name, fault.affected, fault.disturbed);
        let end = (fault.start)(site);
        let log = self.log.clone();
        Box::new(move |site| {
            end(site);
            log.end(record);
        })
    }

    /// Returns one random fault of the mix that reaches one gateway or engine.
    fn choose(&self, site: &Site, rng: &mut SmallRng) -> Fault {
        let engines = site.platform.engines.ids();
        let engine = engines.choose(rng).expect("the site has engines").clone();
        let gateways = vec![rng.random_range(0..self.size.gateways())];
        let kind = match self.mix {
            FaultMix::All => rng.random_range(0..12),
            FaultMix::Planned => *[2, 6, 6, 7, 8, 10, 11, 11]
                .choose(rng)
                .expect("it is not empty"),
        };
        match kind {
            0 => disable_engines(vec![engine], EngineFault::Dead),
            1 => disable_engines(vec![engine], EngineFault::Silent),
            2 => disable_store(rng),
            3 => disable_plain(rng),
            4 => self.kill(gateways),
            5 => pause(gateways),
            6 => self.stop(gateways),
            7 => forget_history(),
            8 => disturb_links_to_store(rng, gateways),
            9 => Fault::new(
                "links to an engine",
                Affected::Streams,
                disturb_connections(rng, Vec::new(), engine),
            ),
            10 => freeze_links_to_store(gateways),
            // A new configuration and a reload of the settings, which must not interrupt the service.
            _ => Fault::new("configuration", Affected::Nothing, move |site| {
                site.put_config(&[KEY, OTHER_KEY]);
                hang_up(site, &gateways);
                Box::new(|_| {})
            }),
        }
    }

    /// Returns one random fault of the mix that reaches several gateways or engines.
    fn choose_wide(&self, site: &Site, rng: &mut SmallRng) -> Fault {
        let all = self.size.gateways();
        let mut gateways: Vec<usize> = (0..all).collect();
        gateways.shuffle(rng);
        let counts = [1, 2, all / 8, all / 4, all / 2];
        gateways.truncate(*counts.choose(rng).expect("it is not empty"));
        let mut engines = site.platform.engines.ids();
        engines.shuffle(rng);
        engines.truncate(rng.random_range(1..=engines.len() / 4));
        // Changes and stops come more often than faults of the store, which put all gateways out of touch.
        let planned = [6, 6, 6, 11, 11, 11, 12, 12, 13, 13, 8, 10, 7, 2];
        let unplanned = [0, 1, 3, 4, 4, 5, 5, 5, 9];
        let kinds: Vec<i32> = match self.mix {
            FaultMix::All => planned.into_iter().chain(unplanned).collect(),
            FaultMix::Planned => planned.to_vec(),
        };
        match kinds.choose(rng).expect("it is not empty") {
            0 => disable_engines(engines, EngineFault::Dead),
            1 => disable_engines(engines, EngineFault::Silent),
            2 => disable_store(rng),
            3 => disable_plain(rng),
            4 => self.kill(gateways),
            5 => pause(gateways),
            6 => self.stop(gateways),
            7 => forget_history(),
            8 => disturb_links_to_store(rng, gateways),
            9 => {
                let engine = engines.remove(0);
                Fault::new(
                    "links to an engine",
                    Affected::Streams,
                    disturb_connections(rng, Vec::new(), engine),
                )
            }
            10 => freeze_links_to_store(gateways),
            11 => self.change_configuration(rng, gateways),
            12 => self.change_and_stop(rng, gateways),
            _ => self.take_instance_out(rng),
        }
    }

    fn kill(&self, gateways: Vec<usize>) -> Fault {
        let log = self.log.clone();
        Fault::new("kill", Affected::Gateways(gateways.clone()), move |site| {
            gateways.iter().for_each(|&gateway| site.kill(gateway));
            Box::new(move |site| {
                for gateway in gateways {
                    log.record_start(gateway);
                    site.restart(gateway);
                }
            })
        })
    }

    /// Returns the fault that these gateways are stopped, and started again once they have ended.
    fn stop(&self, gateways: Vec<usize>) -> Fault {
        let (faults, stopped) = (self.clone(), gateways.clone());
        let fault = Fault::new("stop", Affected::Nothing, move |site| {
            let stops = faults.send_stop(site, &stopped);
            Box::new(move |site| faults.end_stops(site, stops))
        });
        fault.disturbing(Disturbed::Gateways(gateways))
    }

    /// Sends SIGTERM to these gateways.
    fn send_stop(&self, site: &Site, gateways: &[usize]) -> Vec<Stop> {
        let stops = gateways.iter().map(|&gateway| {
            site.signal(gateway, "TERM");
            let incarnation = site.incarnation(gateway);
            if let Some(incarnation) = incarnation {
                self.log.records().stops.insert((gateway, incarnation));
            }
            Stop {
                gateway,
                incarnation,
                sent_at: Instant::now(),
            }
        });
        stops.collect()
    }

    /// Waits until the stopped gateways have ended, and starts them again.
    fn end_stops(&self, site: &mut Site, stops: Vec<Stop>) {
        // Another fault may have paused the process, which then cannot end.
        for stop in &stops {
            site.signal(stop.gateway, "CONT");
        }
        self.assert_not_ready(site, &stops);
        let mut ended = Vec::new();
        for stop in stops {
            let gateway = stop.gateway;
            // Another fault may have killed the process and started a new one, which the restart then
            // kills.
            let is_same = site.incarnation(gateway) == stop.incarnation;
            let runs_anew = !is_same && site.incarnation(gateway).is_some();
            if runs_anew && self.mix == FaultMix::Planned {
                // The mix has no kills, which would excuse lost answers.
                continue;
            }
            let kill = (!is_same).then(|| {
                let killed = vec![gateway];
                let disturbed = Disturbed::Gateways(killed.clone());
                self.log
                    .begin("kill at a restart", Affected::Gateways(killed), disturbed)
            });
            let has_ended = !is_same || site.wait_for_end(gateway, STOP_MS);
            assert!(
                has_ended,
                "gateway {gateway} did not stop within its grace time"
            );
            ended.push((gateway, kill));
        }
        if self.size.reach == Reach::Several {
            thread::sleep(Duration::from_millis(CLOSED_MS));
        }
        for (gateway, kill) in ended {
            self.log.record_start(gateway);
            site.restart(gateway);
            if let Some(kill) = kill {
                self.log.end(kill);
            }
        }
    }

    /// Checks that of the stopped gateways at most a quarter, or one, is still ready some time after SIGTERM.
    pub fn assert_not_ready(&self, site: &Site, stops: &[Stop]) {
        let ready = stops.iter().filter(|stop| {
            stop.incarnation.is_some()
                && site.incarnation(stop.gateway) == stop.incarnation
                && stop.sent_at.elapsed() >= NOT_READY_AFTER
                && !self.log.is_harmed(stop.gateway, stop.sent_at)
                && site.is_ready(stop.gateway)
        });
        let ready: Vec<usize> = ready.map(|stop| stop.gateway).collect();
        assert!(
            ready.len() < 2 || 4 * ready.len() <= stops.len(),
            "{} of {} stopped gateways are still ready: {ready:?}",
            ready.len(),
            stops.len()
        );
    }

    /// Writes a configuration with a key that no other one has, and random limits.
    pub fn put_next_configuration(&self, site: &Site, rng: &mut SmallRng) {
        let timeouts_ms = [ROUTE_TIMEOUT_MS / 2, ROUTE_TIMEOUT_MS];
        let limits = RequestLimits {
            max_body_bytes: *[2_048, 65_536].choose(rng).expect("it is not empty"),
            idle_timeout_ms: *[1_000, 3_000, 15_000].choose(rng).expect("it is not empty"),
        };
        let timeout_ms = *timeouts_ms.choose(rng).expect("it is not empty");
        self.history.change_key(|key| {
            site.put_config_with(&[KEY, key], timeout_ms, limits);
        });
    }

    /// Returns the change to another key and other limits, with a reload of the settings.
    fn change_configuration(&self, rng: &mut SmallRng, gateways: Vec<usize>) -> Fault {
        let faults = self.clone();
        let mut rng = SmallRng::seed_from_u64(rng.random());
        Fault::new("configuration", Affected::Nothing, move |site| {
            faults.put_next_configuration(site, &mut rng);
            hang_up(site, &gateways);
            Box::new(|_| {})
        })
    }

    /// Returns a series of changes around a stop of these gateways.
    fn change_and_stop(&self, rng: &mut SmallRng, gateways: Vec<usize>) -> Fault {
        let (faults, stopped) = (self.clone(), gateways.clone());
        let mut rng = SmallRng::seed_from_u64(rng.random());
        let fault = Fault::new("changes around a stop", Affected::Nothing, move |site| {
            hang_up(site, &stopped);
            faults.put_next_configuration(site, &mut rng);
            let stops = faults.send_stop(site, &stopped);
            thread::sleep(Duration::from_millis(300));
            hang_up(site, &stopped);
            faults.put_next_configuration(site, &mut rng);
            Box::new(move |site| faults.end_stops(site, stops))
        });
        fault.disturbing(Disturbed::Gateways(gateways))
    }

    /// Returns the fault that an instance of the plain service other than the first drains or leaves.
    fn take_instance_out(&self, rng: &mut SmallRng) -> Fault {
        let instance = rng.random_range(1..PlainService::IDS.len());
        let is_removed = rng.random();
        let history = self.history.clone();
        Fault::new("instance away", Affected::Nothing, move |site| {
            history.take_instance_out(&site.platform, instance, is_removed);
            Box::new(move |site| history.bring_instance_back(&site.platform, instance))
        })
    }
}

/// SIGTERM that a gateway got.
pub struct Stop {
    pub gateway: usize,
    /// `None` if the gateway had been killed.
    pub incarnation: Option<usize>,
    pub sent_at: Instant,
}

fn hang_up(site: &Site, gateways: &[usize]) {
    for &gateway in gateways {
        site.signal(gateway, "HUP");
    }
}

fn pause(gateways: Vec<usize>) -> Fault {
    Fault::new("pause", Affected::Gateways(gateways.clone()), move |site| {
        for &gateway in &gateways {
            site.signal(gateway, "STOP");
        }
        Box::new(move |site| {
            for &gateway in &gateways {
                site.signal(gateway, "CONT");
            }
        })
    })
}

fn disable_engines(engines: Vec<String>, fault: EngineFault) -> Fault {
    Fault::new("engines", Affected::Streams, move |site| {
        for engine in &engines {
            site.platform.engines.set_fault(engine, fault);
        }
        Box::new(move |site| {
            for engine in &engines {
                site.platform.engines.set_fault(engine, EngineFault::None);
            }
        })
    })
}

fn disable_store(rng: &mut SmallRng) -> Fault {
    let faults = [
        StoreFault::Busy,
        StoreFault::Silent,
        StoreFault::LosesWrites,
        StoreFault::Slow(300),
    ];
    let fault = *faults.choose(rng).expect("the list of faults is not empty");
    let fault = Fault::new("store", Affected::Nothing, move |site| {
        site.platform.store.set_fault(fault);
        Box::new(|site| site.platform.store.set_fault(StoreFault::None))
    });
    fault.disturbing(Disturbed::Store)
}

fn disable_plain(rng: &mut SmallRng) -> Fault {
    let faults = [
        PlainFault::LosesAnswer,
        PlainFault::CutsUnframed,
        PlainFault::CutsFramed,
        PlainFault::AnswersAnother,
        PlainFault::Full,
        PlainFault::Slow(1_000),
    ];
    let fault = *faults.choose(rng).expect("the list of faults is not empty");
    Fault::new("plain service", Affected::Plain, move |site| {
        site.platform.plain.set_fault(fault);
        Box::new(|site| site.platform.plain.set_fault(PlainFault::None))
    })
}

fn forget_history() -> Fault {
    Fault::new("history forgotten", Affected::Nothing, |site| {
        site.platform.store.forget_history();
        Box::new(|_| {})
    })
}

/// The gateways reach the engines without the store.
fn disturb_links_to_store(rng: &mut SmallRng, gateways: Vec<usize>) -> Fault {
    let names = gateways.iter().map(|&index| gateway_name(index)).collect();
    let disturb = disturb_connections(rng, names, STORE.to_owned());
    Fault::new("links to the store", Affected::Nothing, disturb)
        .disturbing(Disturbed::Gateways(gateways))
}

/// The connections open now pass no more bytes, for good. New ones work, so there is nothing to end.
fn freeze_links_to_store(gateways: Vec<usize>) -> Fault {
    let names: Vec<String> = gateways.iter().map(|&index| gateway_name(index)).collect();
    let fault = Fault::new(
        "frozen links to the store",
        Affected::Nothing,
        move |site| {
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            site.links().freeze(&names, &[STORE]);
            Box::new(|_| {})
        },
    );
    fault.disturbing(Disturbed::Gateways(gateways))
}

/// Returns a function that applies a random fault to the connections from some parties (none: from all)
/// to another, and returns the function that ends the fault.
fn disturb_connections(
    rng: &mut SmallRng,
    from: Vec<String>,
    to: String,
) -> impl FnOnce(&mut Site) -> EndFault + 'static + use<> {
    let faults = [
        json!({ "mode": "cut" }),
        json!({ "mode": "silent" }),
        json!({ "mode": "lose-towards-target" }),
        json!({ "mode": "lose-towards-source" }),
        json!({ "mode": "delay", "delay_ms": 150 }),
        json!({ "mode": "lose-share", "share": 0.2 }),
    ];
    let fault = faults.choose(rng).expect("the list of faults is not empty");
    let fault = fault.clone();
    let rule = format!("rule-{}", rng.random::<u32>());
    move |site| {
        let from: Vec<&str> = from.iter().map(String::as_str).collect();
        site.links().disturb(&rule, &from, &[&to], &fault);
        Box::new(move |site| site.links().heal(&rule))
    }
}
