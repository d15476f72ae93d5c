//! Counters over UDP and histograms per organisation and priority class.

use std::{
    collections::BTreeMap,
    fmt::Write,
    net::{SocketAddr, UdpSocket},
    sync::{Mutex, PoisonError},
};

use cadence::{CountedExt, NopMetricSink, StatsdClient, UdpMetricSink};
use hdrhistogram::Histogram;
use jacinthpoint_types::{OrganisationId, Outcome, Priority};

/// Prefix of all metric names.
const PREFIX: &str = "jacinthpoint";
/// Largest time that the histograms tell apart.
const MAX_US: u64 = 600_000_000;
/// Significant digits of the histograms; two keep each histogram near 20 KiB.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Shards of the histograms, so that requests of different organisations do not wait for one
/// lock.
const SHARDS: usize = 8;

/// Organisation and class that a histogram is for.
type Series = (OrganisationId, Priority);

#[derive(Debug)]
struct Times {
    first_token_us: Histogram<u64>,
    whole_us: Histogram<u64>,
    ended: BTreeMap<&'static str, u64>,
}

impl Times {
    fn new() -> Times {
        let histogram = || {
            Histogram::new_with_max(MAX_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are constant and valid")
        };
        Times {
            first_token_us: histogram(),
            whole_us: histogram(),
            ended: BTreeMap::new(),
        }
    }
}

/// The node's metrics.
pub(crate) struct Metrics {
    client: StatsdClient,
    shards: [Mutex<BTreeMap<Series, Times>>; SHARDS],
}

impl Metrics {
    /// Metrics that are sent to `statsd`, if given.
    pub(crate) fn new(statsd: Option<SocketAddr>) -> std::io::Result<Metrics> {
        let client = match statsd {
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                StatsdClient::from_sink(PREFIX, sink)
            }
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Ok(Metrics {
            client,
            shards: Default::default(),
        })
    }

    /// Counts one event by name. Metrics are never worth failing for.
    pub(crate) fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Takes in the end of a request.
    pub(crate) fn record_end(
        &self,
        organisation: &OrganisationId,
        priority: Priority,
        outcome: Outcome,
        first_token_us: Option<u64>,
        whole_us: u64,
    ) {
        let name = match outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        };
        self.count(name);
        let mut shard = self
            .shard(organisation)
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let times = shard
            .entry((organisation.clone(), priority))
            .or_insert_with(Times::new);
        *times.ended.entry(name).or_default() += 1;
        if outcome == Outcome::Answered {
            times.whole_us.saturating_record(whole_us);
            if let Some(first_token_us) = first_token_us {
                times.first_token_us.saturating_record(first_token_us);
            }
        }
    }

    fn shard(&self, organisation: &OrganisationId) -> &Mutex<BTreeMap<Series, Times>> {
        let hash = jacinthpoint_types::rank("metrics", organisation.as_str());
        &self.shards[hash as usize % SHARDS]
    }

    /// All series as a text page, a line each.
    pub(crate) fn page(&self) -> String {
        let mut page = String::new();
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for ((organisation, priority), times) in shard.iter() {
                write_series(&mut page, organisation, *priority, times);
            }
        }
        page
    }
}

fn write_series(page: &mut String, organisation: &OrganisationId, class: Priority, times: &Times) {
    let labels = format!("organisation=\"{organisation}\",class=\"{class}\"");
    for (outcome, count) in &times.ended {
        let _ = writeln!(
            page,
            "requests_ended{{{labels},outcome=\"{outcome}\"}} {count}"
        );
    }
    let histograms = [
        ("first_token_us", &times.first_token_us),
        ("whole_answer_us", &times.whole_us),
    ];
    for (name, histogram) in histograms {
        for quantile in [0.5, 0.95, 0.99, 1.0] {
            let value = histogram.value_at_quantile(quantile);
            let _ = writeln!(page, "{name}{{{labels},quantile=\"{quantile}\"}} {value}");
        }
        let _ = writeln!(page, "{name}_count{{{labels}}} {}", histogram.len());
    }
}
