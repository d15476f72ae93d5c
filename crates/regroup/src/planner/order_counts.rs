//! Tells reports that are older than the orders that their upstreams have begun.
//!
//! An upstream counts the orders that began something, from its start on, and reports the number. A report from
//! before an order that the upstream is known to have begun has a lower number than the upstream has now: an answer
//! that is written a second time on a kept connection may be any number of orders old.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_fleet::{Order, OrderAction, OrderAnswer};
use jacinthpoint_types::{TimeMs, VmId};

use crate::planner::MAX_REPORT_AGE_MS;

/// Time for which all reports of an upstream have to be older before they are believed: then its number is not
/// understood.
const DISBELIEF_MS: u64 = 3_000;

/// What is known of the orders that one incarnation has begun.
#[derive(Debug, Default)]
struct Counted {
    /// Lowest number that the upstream can have reached; `None` until its first report.
    at_least: Option<u64>,
    /// When this number became known.
    raised_at: TimeMs,
    /// Orders that were sent and not answered yet, each with the number at that time.
    sent: Vec<(OrderAction, u64)>,
    /// Kind and epoch of the orders that are counted in `at_least`. An order that is sent again may be answered as
    /// begun without beginning anything.
    begun: BTreeSet<(&'static str, u64)>,
    /// Time of the first of the last reports that were all older.
    older_since: Option<TimeMs>,
}

/// Age of a report, by its number of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportAge {
    /// Nothing shows that it is older than an order that the upstream has begun.
    Newest,
    /// It is older than one of the last second. Each report is some hundred milliseconds old when it arrives.
    Lagging,
    /// It is older than one of before.
    Outdated,
}

impl Counted {
    /// Raises the lowest number that the upstream can have reached.
    fn raise(&mut self, number: u64, now: TimeMs) {
        if self.at_least.is_none_or(|at_least| at_least < number) {
            self.at_least = Some(number);
            self.raised_at = now;
        }
    }
}

/// Numbers of orders that upstreams have begun, as far as one planner knows them.
#[derive(Debug, Default)]
pub(super) struct OrderCounts(BTreeMap<VmId, Counted>);

impl OrderCounts {
    /// Records that an order is about to be sent.
    pub(super) fn on_sent(&mut self, order: &Order) {
        let counted = self.0.entry(order.target.clone()).or_default();
        if let Some(at_least) = counted.at_least {
            counted.sent.retain(|(action, _)| *action != order.action);
            counted.sent.push((order.action.clone(), at_least));
        }
    }

    /// Records the answer to an order.
    pub(super) fn on_answer(&mut self, order: &Order, answer: OrderAnswer, now: TimeMs) {
        let Some(counted) = self.0.get_mut(&order.target) else {
            return;
        };
        let sent = &mut counted.sent;
        let Some(index) = sent.iter().position(|(action, _)| *action == order.action) else {
            return;
        };
        let (action, at_sending) = sent.swap_remove(index);
        let epoch = match &action {
            OrderAction::Join { epoch, .. }
            | OrderAction::Open { epoch, .. }
            | OrderAction::Close { epoch, .. }
            | OrderAction::Leave { epoch, .. } => *epoch,
            // A stage has no epoch; the same one may begin again.
            OrderAction::Stage { .. } => return,
        };
        if answer == OrderAnswer::Begun && counted.begun.insert(((&action).into(), epoch)) {
            counted.raise(at_sending + 1, now);
        }
    }

    /// Records the number in a report, if it has one, and returns the report's age.
    pub(super) fn on_report(&mut self, id: &VmId, number: Option<u64>, now: TimeMs) -> ReportAge {
        let Some(number) = number else {
            return ReportAge::Newest;
        };
        let counted = self.0.entry(id.clone()).or_default();
        if counted.at_least.is_none_or(|at_least| number >= at_least) {
            counted.raise(number, now);
            counted.older_since = None;
            return ReportAge::Newest;
        }
        let since = *counted.older_since.get_or_insert(now);
        if now.since_ms(since) >= DISBELIEF_MS {
            *counted = Counted::default();
            counted.raise(number, now);
            return ReportAge::Newest;
        }
        match now.since_ms(counted.raised_at) < MAX_REPORT_AGE_MS {
            true => ReportAge::Lagging,
            false => ReportAge::Outdated,
        }
    }

    /// Forgets an upstream, because it started again.
    pub(super) fn remove(&mut self, id: &VmId) {
        self.0.remove(id);
    }

    /// Forgets all upstreams but these.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&VmId) -> bool) {
        self.0.retain(|id, _| is_kept(id));
    }
}
