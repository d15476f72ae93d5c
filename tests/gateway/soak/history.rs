//! What happened in a soak, and the checks of it once the soak is over.
//!
//! These checks need what happened before and after a request: which key was in force, whether an upstream had
//! left, and whether the request ran later. Bounds of time hold only for gateways in touch: neither they nor the
//! store were disturbed at that time or shortly before.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{PlainService, Platform, Run};

use crate::gateway::{CONFIG_APPLY_MS, DRAIN_MS, site::KEY, soak::faults::FaultLog};

/// Time after the end of a disturbance from which bounds of time hold again.
pub const STABLE: Duration = Duration::from_secs(3);
/// Time within which a written configuration must be in force.
const CONFIG_APPLY: Duration = Duration::from_millis(CONFIG_APPLY_MS);
/// Time after which no request may reach an upstream that drains or has left.
const LEAVING: Duration = Duration::from_millis(DRAIN_MS);
/// Time after an effect of a configuration was seen at a gateway from which it must show no older one.
const BACK: Duration = Duration::from_millis(250);
/// Time within which the work for a caller that left must end, and after which none may begin.
const LEFT: Duration = Duration::from_millis(500);
/// Number of requests that are too few to matter.
const FEW: usize = 3;
/// Key that no configuration has.
pub const UNKNOWN_KEY: &str = "key-unknown";

/// A request that a caller sent.
#[derive(Debug, Clone)]
pub struct Exchange {
    pub id: String,
    pub gateway: usize,
    pub key: String,
    /// Whether it may run more than once.
    pub is_stream: bool,
    pub sent_at: Instant,
    /// Time at which the answer ended or the caller left.
    pub ended_at: Instant,
    /// Status of the answer, whole or not; 0 if none arrived.
    pub status: u16,
    /// Whether the caller left on purpose before the end of the answer.
    pub has_left: bool,
}

/// A key, and when the configuration that has it was written.
#[derive(Debug, Clone)]
struct KeyChange {
    key: String,
    /// Time just before the write.
    begun_at: Instant,
    /// Time at which the write was acknowledged.
    acknowledged_at: Instant,
}

/// Absence of an instance of the plain service.
#[derive(Debug, Clone)]
struct Absence {
    upstream: &'static str,
    acknowledged_at: Instant,
    /// `None` if it has not returned.
    ended_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Records {
    exchanges: Vec<Exchange>,
    /// Keys beside [`KEY`], which all configurations have. Each is in one configuration.
    keys: Vec<KeyChange>,
    absences: Vec<Absence>,
}

/// What happened in a soak so far.
#[derive(Debug, Clone, Default)]
pub struct History(Arc<Mutex<Records>>);

/// What the checks of a soak found.
#[derive(Debug, Default)]
pub struct Findings {
    pub violations: Vec<String>,
    /// Number of cases that each check could judge.
    pub judged: BTreeMap<&'static str, usize>,
}

impl Findings {
    /// Counts a case of a check, and a violation if there is one.
    fn judge(&mut self, check: &'static str, violation: Option<String>) {
        *self.judged.entry(check).or_default() += 1;
        self.violations
            .extend(violation.map(|violation| format!("{check}: {violation}")));
    }

    pub fn judged(&self, check: &str) -> usize {
        self.judged.get(check).copied().unwrap_or_default()
    }
}

impl fmt::Display for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "request {} with {} at gateway {}, status {}",
            self.id, self.key, self.gateway, self.status
        )
    }
}

/// Checks of a [`History`] by name.
pub const KEY_IN_FORCE: &str = "key in force";
pub const NO_OLDER_KEY: &str = "no older key";
pub const UNKNOWN_KEY_REFUSED: &str = "unknown key refused";
pub const RUNS_AT_END: &str = "runs at the end";
pub const NO_RUN_AT_ABSENT: &str = "no run at an absent upstream";
pub const WORK_ENDS: &str = "work for callers that left ends";
pub const NO_LATE_WORK: &str = "no work begins for callers that left";

impl History {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn push(&self, exchange: Exchange) {
        self.records().exchanges.push(exchange);
    }

    /// Calls `put` with the next key, which writes it into the configuration.
    pub fn change_key(&self, put: impl FnOnce(&str)) {
        let key = format!("key-of-soak-{}", self.records().keys.len());
        let begun_at = Instant::now();
        put(&key);
        self.records().keys.push(KeyChange {
            key,
            begun_at,
            acknowledged_at: Instant::now(),
        });
    }

    /// Returns the key of the configuration that is this many changes older than the newest.
    pub fn key_before(&self, changes: usize) -> Option<String> {
        let records = self.records();
        let key = records.keys.iter().rev().nth(changes);
        key.map(|change| change.key.clone())
    }

    /// Makes an instance of the plain service drain, or removes its entry.
    pub fn take_instance_out(&self, platform: &Platform, instance: usize, is_removed: bool) {
        let upstream = PlainService::IDS[instance];
        if is_removed {
            platform.store.remove(paths::UPSTREAM_KIND, upstream);
        } else {
            platform.plain.register(instance, "draining");
        }
        self.records().absences.push(Absence {
            upstream,
            acknowledged_at: Instant::now(),
            ended_at: None,
        });
    }

    /// Makes an instance of the plain service ready again.
    pub fn bring_instance_back(&self, platform: &Platform, instance: usize) {
        let upstream = PlainService::IDS[instance];
        for absence in &mut self.records().absences {
            if absence.upstream == upstream {
                absence.ended_at.get_or_insert_with(Instant::now);
            }
        }
        platform.plain.register(instance, "ready");
    }

    /// Checks all that happened, with all runs at upstreams. A whole stream takes `stream_time` or longer.
    pub fn check(&self, faults: &FaultLog, runs: &[Run], stream_time: Duration) -> Findings {
        let records = self.records();
        let mut runs_by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs {
            runs_by_id.entry(&run.attempt_id).or_default().push(run);
        }
        let runs_of = |exchange: &Exchange| -> &[&Run] {
            let runs = runs_by_id.get(exchange.id.as_str());
            runs.map(Vec::as_slice).unwrap_or_default()
        };
        let mut findings = Findings::default();
        for exchange in &records.exchanges {
            let runs = runs_of(exchange);
            check_runs(exchange, runs, &mut findings);
            records.check_key_in_force(exchange, runs, faults, &mut findings);
        }
        records.check_order_of_keys(faults, &mut findings);
        records.check_absences(faults, runs_of, &mut findings);
        records.check_left(faults, runs_of, stream_time, &mut findings);
        findings
    }
}

/// Checks that a request that is not idempotent ran once at most and, if it was refused, not at all. It may have
/// run after its answer.
fn check_runs(exchange: &Exchange, runs: &[&Run], findings: &mut Findings) {
    let refused = matches!(exchange.status, 408 | 421 | 429 | 503);
    let max_runs = match (exchange.is_stream, refused) {
        (true, _) => return,
        (false, true) => 0,
        (false, false) => 1,
    };
    let count = runs.len();
    let violation = (count > max_runs).then(|| format!("{exchange}, ran {count} times"));
    findings.judge(RUNS_AT_END, violation);
}

impl Records {
    /// Returns the place of a key in the order of configurations.
    fn place(&self, key: &str) -> Option<usize> {
        self.keys.iter().position(|change| change.key == key)
    }

    /// Returns whether the configuration at this place was the newest during a request, and had been for the
    /// time in which it must be in force.
    fn is_newest(&self, place: usize, exchange: &Exchange) -> bool {
        let is_applied = self.keys[place].acknowledged_at + CONFIG_APPLY < exchange.sent_at;
        let next = self.keys.get(place + 1);
        is_applied && next.is_none_or(|next| next.begun_at > exchange.ended_at)
    }

    /// Checks that a gateway in touch accepts the key of the newest configuration and none of an older one, and
    /// that no gateway accepts one that no configuration has.
    fn check_key_in_force(
        &self,
        exchange: &Exchange,
        runs: &[&Run],
        faults: &FaultLog,
        findings: &mut Findings,
    ) {
        let is_taken = !runs.is_empty() || (200..300).contains(&exchange.status);
        if exchange.key == UNKNOWN_KEY {
            let violation = is_taken.then(|| format!("{exchange}, {} runs", runs.len()));
            return findings.judge(UNKNOWN_KEY_REFUSED, violation);
        }
        let Some(place) = self.place(&exchange.key) else {
            return;
        };
        if !faults.is_in_touch(exchange.gateway, exchange.sent_at..exchange.ended_at) {
            return;
        }
        let later = self.keys.get(place + 1);
        let is_withdrawn =
            later.is_some_and(|later| later.acknowledged_at + CONFIG_APPLY < exchange.sent_at);
        let violation = if is_withdrawn {
            is_taken.then(|| format!("{exchange}, {} runs, after the key was removed", runs.len()))
        } else if self.is_newest(place, exchange) {
            let is_denied = matches!(exchange.status, 401 | 403 | 404);
            is_denied.then(|| format!("{exchange}, after the key was added"))
        } else {
            return;
        };
        findings.judge(KEY_IN_FORCE, violation);
    }

    /// Checks that no process accepts the key of an older configuration after one of a newer configuration, or
    /// denies the newest one that it has accepted.
    fn check_order_of_keys(&self, faults: &FaultLog, findings: &mut Findings) {
        let mut of_process: BTreeMap<(usize, usize), Vec<(usize, &Exchange)>> = BTreeMap::new();
        for exchange in &self.exchanges {
            let Some(place) = self.place(&exchange.key) else {
                continue;
            };
            let incarnation = faults.incarnation(exchange.gateway, exchange.sent_at);
            if faults.incarnation(exchange.gateway, exchange.ended_at) == incarnation {
                let process = of_process.entry((exchange.gateway, incarnation));
                process.or_default().push((place, exchange));
            }
        }
        for exchanges in of_process.values() {
            for (place, exchange) in exchanges {
                let accepted_before = exchanges.iter().filter(|(_, before)| {
                    before.status == 200 && before.ended_at + BACK < exchange.sent_at
                });
                let Some(newest) = accepted_before.map(|(place, _)| *place).max() else {
                    continue;
                };
                let next = self.keys.get(newest + 1);
                let is_still_newest = next.is_none_or(|next| next.begun_at > exchange.ended_at);
                let violation = match exchange.status {
                    200 if *place < newest => Some("accepted after that of a newer configuration"),
                    401 if *place == newest && is_still_newest => {
                        Some("denied after it was accepted")
                    }
                    _ => None,
                };
                let violation = violation.map(|violation| format!("{exchange}, {violation}"));
                findings.judge(NO_OLDER_KEY, violation);
            }
        }
    }

    /// Checks that no request of a gateway in touch reaches an upstream that drains or has left.
    fn check_absences<'a>(
        &self,
        faults: &FaultLog,
        runs_of: impl Fn(&Exchange) -> &'a [&'a Run],
        findings: &mut Findings,
    ) {
        for absence in &self.absences {
            if !faults.is_store_stable(absence.acknowledged_at) {
                continue;
            }
            let begin = absence.acknowledged_at + LEAVING;
            let is_absent =
                |at: Instant| at > begin && absence.ended_at.is_none_or(|ended_at| at < ended_at);
            for exchange in &self.exchanges {
                for run in runs_of(exchange).iter().filter(|run| is_absent(run.at)) {
                    if faults.is_in_touch(exchange.gateway, exchange.sent_at..run.at) {
                        let late = run.at - absence.acknowledged_at;
                        let violation = (run.upstream == absence.upstream).then(|| {
                            format!("{exchange}, ran at {} {late:?} after it left", run.upstream)
                        });
                        findings.judge(NO_RUN_AT_ABSENT, violation);
                    }
                }
            }
        }
    }

    /// Checks that upstreams end their work on nearly all streams whose caller left, and that hardly any of them
    /// begins to run later.
    fn check_left<'a>(
        &self,
        faults: &FaultLog,
        runs_of: impl Fn(&Exchange) -> &'a [&'a Run],
        stream_time: Duration,
        findings: &mut Findings,
    ) {
        let (mut still_at_work, mut begun_late) = (Vec::new(), Vec::new());
        for exchange in self.exchanges.iter().filter(|exchange| exchange.has_left) {
            let bound = exchange.ended_at + LEFT;
            let time = exchange.sent_at..bound;
            if !faults.is_in_touch(exchange.gateway, time.clone())
                || !faults.are_streams_sound(time)
            {
                continue;
            }
            let runs = runs_of(exchange);
            findings.judge(NO_LATE_WORK, None);
            if runs.iter().any(|run| run.at > bound) {
                begun_late.push(exchange.id.as_str());
            }
            let would_last = |run: &&&Run| run.at <= bound && run.at + stream_time > bound;
            if let Some(run) = runs.last().filter(would_last) {
                findings.judge(WORK_ENDS, None);
                if run.ended_at.is_none_or(|ended_at| ended_at > bound) {
                    still_at_work.push(exchange.id.as_str());
                }
            }
        }
        let judged = findings.judged(WORK_ENDS);
        if still_at_work.len() > FEW && 4 * still_at_work.len() > judged {
            let violation = format!(
                "{WORK_ENDS}: at work on {} of {judged}: {still_at_work:?}",
                still_at_work.len()
            );
            findings.violations.push(violation);
        }
        if begun_late.len() > FEW {
            let violation = format!("{NO_LATE_WORK}: begun on {begun_late:?}");
            findings.violations.push(violation);
        }
    }
}

/// Returns whether a key is in all configurations.
pub fn is_permanent(key: &str) -> bool {
    key == KEY
}
