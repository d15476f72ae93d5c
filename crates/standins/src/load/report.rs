//! What became of the load: histograms per organisation and class, as text and CSV.

use std::{collections::BTreeMap, fmt::Write};

use hdrhistogram::Histogram;
use jacinthpoint_types::{OrganisationId, Priority};

/// Largest first-token time that is told apart.
const MAX_MS: u64 = 600_000;
/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a request ended, as the caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Whole, within its deadline.
    InTime {
        /// Time to the first token.
        first_token_ms: u64,
    },
    /// Whole or not, after its deadline.
    Late {
        /// Time to the first token.
        first_token_ms: u64,
    },
    /// Refused by the pace of its organisation.
    Paced,
    /// Shed, or refused because its deadline cannot be met.
    Shed {
        /// Time from the arrival until the caller was told.
        after_ms: u64,
    },
    /// Failed.
    Failed,
}

/// Counts and first-token times of one series.
#[derive(Debug, Clone)]
pub struct Series {
    /// Requests that came.
    pub offered: u64,
    /// Answered within the deadline.
    pub in_time: u64,
    /// Answered after it.
    pub late: u64,
    /// Refused by pace.
    pub paced: u64,
    /// Shed or refused for their deadline.
    pub shed: u64,
    /// Failed.
    pub failed: u64,
    /// First-token times of what was answered, late or not.
    pub first_token_ms: Histogram<u64>,
    /// Time from arrival to refusal of what was shed.
    pub shed_after_ms: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MS, SIGNIFICANT_DIGITS).expect("the bounds are constant and valid")
}

impl Default for Series {
    fn default() -> Series {
        Series {
            offered: 0,
            in_time: 0,
            late: 0,
            paced: 0,
            shed: 0,
            failed: 0,
            first_token_ms: histogram(),
            shed_after_ms: histogram(),
        }
    }
}

impl Series {
    /// Share of what came that was answered within its deadline.
    pub fn goodput(&self) -> f64 {
        self.in_time as f64 / self.offered.max(1) as f64
    }

    fn take(&mut self, ended: Ended) {
        self.offered += 1;
        match ended {
            Ended::InTime { first_token_ms } => {
                self.in_time += 1;
                self.first_token_ms.saturating_record(first_token_ms);
            }
            Ended::Late { first_token_ms } => {
                self.late += 1;
                self.first_token_ms.saturating_record(first_token_ms);
            }
            Ended::Paced => self.paced += 1,
            Ended::Shed { after_ms } => {
                self.shed += 1;
                self.shed_after_ms.saturating_record(after_ms);
            }
            Ended::Failed => self.failed += 1,
        }
    }

    fn merge(&mut self, other: &Series) {
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.late += other.late;
        self.paced += other.paced;
        self.shed += other.shed;
        self.failed += other.failed;
        let same = "both have the same bounds";
        self.first_token_ms.add(&other.first_token_ms).expect(same);
        self.shed_after_ms.add(&other.shed_after_ms).expect(same);
    }
}

/// All series of one run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    series: BTreeMap<(OrganisationId, Priority), Series>,
}

impl Report {
    /// Takes in the end of a request.
    pub fn take(&mut self, organisation: &OrganisationId, priority: Priority, ended: Ended) {
        let key = (organisation.clone(), priority);
        self.series.entry(key).or_default().take(ended);
    }

    /// Takes in another run or part of one.
    pub fn merge(&mut self, other: &Report) {
        for (key, series) in &other.series {
            self.series.entry(key.clone()).or_default().merge(series);
        }
    }

    /// Leaves an organisation out.
    pub fn remove(&mut self, organisation: &OrganisationId) {
        self.series.retain(|(name, _), _| name != organisation);
    }

    /// The sum of the series that `selects` names.
    pub fn sum(&self, selects: impl Fn(&OrganisationId, Priority) -> bool) -> Series {
        let mut sum = Series::default();
        for ((organisation, priority), series) in &self.series {
            if selects(organisation, *priority) {
                sum.merge(series);
            }
        }
        sum
    }

    /// The sum of all series.
    pub fn total(&self) -> Series {
        self.sum(|_, _| true)
    }

    /// A line for each series and one for their sum, with a head.
    pub fn csv(&self) -> String {
        let mut page = String::from(
            "organisation,class,offered,in_time,late,paced,shed,failed,p50_ms,p95_ms,p99_ms\n",
        );
        for ((organisation, priority), series) in &self.series {
            write_line(
                &mut page,
                organisation.as_str(),
                &priority.to_string(),
                series,
            );
        }
        write_line(&mut page, "all", "all", &self.total());
        page
    }

    /// The same as a table for reading.
    pub fn text(&self) -> String {
        let mut page = String::new();
        for line in self.csv().lines() {
            for (index, cell) in line.split(',').enumerate() {
                let width = if index == 0 { 14 } else { 9 };
                let _ = write!(page, "{cell:>width$} ");
            }
            page.push('\n');
        }
        page
    }
}

fn write_line(page: &mut String, organisation: &str, class: &str, series: &Series) {
    let quantile = |q: f64| series.first_token_ms.value_at_quantile(q);
    let _ = writeln!(
        page,
        "{organisation},{class},{},{},{},{},{},{},{},{},{}",
        series.offered,
        series.in_time,
        series.late,
        series.paced,
        series.shed,
        series.failed,
        quantile(0.5),
        quantile(0.95),
        quantile(0.99),
    );
}
