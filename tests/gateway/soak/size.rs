//! Sizes of a soak.

use std::time::Duration;

use crate::gateway::site::SiteSize;

/// What a soak starts, and how many faults it plays.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Name in messages and logs.
    pub name: &'static str,
    pub site: SiteSize,
    /// What the callers do. Each sends one request at a time.
    pub callers: Callers,
    /// Number of faults that one soak starts.
    pub faults: usize,
    /// Maximum number of faults at the same time.
    pub faults_at_once: usize,
    /// Which faults there are.
    pub reach: Reach,
    /// Number of events of each stream.
    pub events: u64,
    /// Time between two events of a stream.
    pub event_ms: u64,
    /// Time for which the callers go on once all faults have ended. A configuration and an instance of the
    /// plain service are changed at its begin, if it is not zero.
    pub calm: Duration,
    /// Requests that are sent at the end, and how many of them at a time.
    pub requests_at_end: usize,
    pub requests_at_once: usize,
}

/// Number of callers by what they do.
#[derive(Debug, Clone, Copy)]
pub struct Callers {
    /// Pause of a caller after an attempt to connect that was refused.
    pub connect_pause_ms: u64,
    /// Callers that keep their connections and come back at once.
    pub keep: usize,
    /// Callers that open a connection for each request.
    pub close: usize,
    /// Callers that leave in the middle of each stream.
    pub leave: usize,
    /// Callers whose keys come and go with the configurations.
    pub change_keys: usize,
}

/// How far faults reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// One gateway or engine each.
    One,
    /// Several gateways or engines, up to half of them. Configurations change keys and limits, and instances of
    /// the plain service leave and return.
    Several,
}

/// Size of the runs in CI.
pub const SMALL: Size = Size {
    name: "small",
    site: SiteSize::of(3),
    callers: Callers {
        connect_pause_ms: 20,
        keep: 6,
        close: 2,
        leave: 0,
        change_keys: 0,
    },
    faults: 12,
    faults_at_once: 3,
    reach: Reach::One,
    events: 20,
    event_ms: 15,
    calm: Duration::ZERO,
    requests_at_end: 40,
    requests_at_once: 1,
};

/// Returns the size of the runs by hand that use much of the machine: this many gateways, and callers and engines
/// in proportion.
pub fn large(gateways: usize) -> Size {
    // Engines form groups of two.
    let engines_per_domain = 2 * (5 * gateways).div_ceil(48);
    Size {
        name: "large",
        site: SiteSize {
            gateways,
            data_centres: 2,
            engines_per_domain,
        },
        callers: Callers {
            connect_pause_ms: 50,
            keep: 25 * gateways / 6,
            close: gateways / 3,
            leave: gateways / 4,
            change_keys: gateways / 4,
        },
        faults: 24,
        faults_at_once: 6,
        reach: Reach::Several,
        events: 25,
        event_ms: 40,
        calm: Duration::from_secs(9),
        requests_at_end: 2 * gateways,
        requests_at_once: 8,
    }
}

impl Size {
    pub fn gateways(&self) -> usize {
        self.site.gateways
    }
}

impl Callers {
    pub fn count(&self) -> usize {
        self.keep + self.close + self.leave + self.change_keys
    }
}
