//! The node's metrics: counters sent to statsd over UDP, and histograms by organisation and
//! priority class for the operators' `/metrics` page.

use std::{
    collections::BTreeMap,
    fmt::Write,
    net::{SocketAddr, UdpSocket},
    sync::{Mutex, PoisonError},
};

use cadence::{CountedExt, NopMetricSink, StatsdClient, UdpMetricSink};
use jacinthpoint_types::{OrganisationId, Outcome, Priority, ResultCode};

use crate::metrics::series::Series;

pub(crate) use crate::metrics::token_gaps::TokenGaps;

mod series;
mod token_gaps;

/// Prefix of all metric names.
const PREFIX: &str = "jacinthpoint";
/// Number of histogram shards. Sharding keeps requests of different organisations from contending
/// for one lock.
const SHARDS: usize = 8;

/// Organisation and priority class of a series.
type SeriesKey = (OrganisationId, Priority);

/// The node's metrics.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
    shards: [Mutex<BTreeMap<SeriesKey, Series>>; SHARDS],
    /// Number of error answers, by the number of their result code.
    errors: Mutex<BTreeMap<u16, (ResultCode, u64)>>,
}

impl Metrics {
    /// Creates the metrics; counters are sent to `statsd`, if given.
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
            errors: Mutex::default(),
        })
    }

    /// Increments a counter. Errors are ignored: a lost metric must not fail a request.
    pub(crate) fn count(&self, name: &str) {
        let _ = self.client.incr(name);
    }

    /// Records the end of a request: its outcome and, if answered, its times in microseconds.
    pub(crate) fn record_request_end(
        &self,
        organisation: &OrganisationId,
        priority: Priority,
        outcome: Outcome,
        first_token_us: Option<u64>,
        whole_answer_us: u64,
    ) {
        let name = match outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        };
        self.count(name);
        self.with_series(organisation, priority, |series| {
            *series.ended.entry(name).or_default() += 1;
            if outcome == Outcome::Answered {
                series.whole_answer_us.saturating_record(whole_answer_us);
                if let Some(first_token_us) = first_token_us {
                    series.first_token_us.saturating_record(first_token_us);
                }
            }
        });
    }

    /// Counts an error answer by its result code, also if the request has no known organisation.
    pub(crate) fn record_error(&self, code: ResultCode) {
        let errors = self.errors.lock();
        let mut errors = errors.unwrap_or_else(PoisonError::into_inner);
        errors.entry(code.number()).or_insert((code, 0)).1 += 1;
    }

    /// Records times between the tokens of one answer.
    fn record_token_gaps(
        &self,
        organisation: &OrganisationId,
        priority: Priority,
        gaps_us: &[u64],
    ) {
        self.with_series(organisation, priority, |series| {
            for gap_us in gaps_us {
                series.token_gap_us.saturating_record(*gap_us);
            }
        });
    }

    fn with_series(
        &self,
        organisation: &OrganisationId,
        priority: Priority,
        record: impl FnOnce(&mut Series),
    ) {
        let shard = self.shard(organisation).lock();
        let mut shard = shard.unwrap_or_else(PoisonError::into_inner);
        let key = (organisation.clone(), priority);
        record(shard.entry(key).or_insert_with(Series::new));
    }

    fn shard(&self, organisation: &OrganisationId) -> &Mutex<BTreeMap<SeriesKey, Series>> {
        let hash = jacinthpoint_types::rendezvous_weight("metrics", organisation.as_str());
        &self.shards[hash as usize % SHARDS]
    }

    /// Returns the text of the `/metrics` page, one value per line.
    pub(crate) fn render(&self) -> String {
        let mut page = String::new();
        let errors = self.errors.lock().unwrap_or_else(PoisonError::into_inner);
        for (number, (code, count)) in errors.iter() {
            let labels = format!("code=\"{number}\",type=\"{code}\"");
            let _ = writeln!(page, "requests_refused{{{labels}}} {count}");
        }
        drop(errors);
        for shard in &self.shards {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for ((organisation, class), series) in shard.iter() {
                series.write(&mut page, organisation, *class);
            }
        }
        page
    }
}
