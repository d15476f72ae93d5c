//! Exchange of load reports in a fleet of any size.
//!
//! One hub for all gateways has to receive and answer as many datagrams as the fleet is large, and a hub
//! that is overloaded answers nobody. So the gateways are divided into cells of bounded size, each with
//! a hub of its own, and one of the hubs, the root, adds up the cells:
//!
//! - a member reports its requests at each target to the hub of its cell;
//! - a hub reports the sum of its members to the root, which answers with the load of all other cells;
//! - a hub answers a member with the load of the cell's other members and of all other cells.
//!
//! A small fleet is one cell whose hub is the root. Gateways that differ for a moment in who is a hub or
//! the root do no harm: a sum of members never contains sums of cells, so no load is passed on in a
//! circle, and what is no longer reported expires.

use std::collections::BTreeMap;

use jacinthpoint_types::TimeMs;

use crate::peer_load::{LoadAggregator, PeerLoad, TargetReport};

/// Number of gateways per cell, rounded up.
const GATEWAYS_PER_CELL: usize = 20;
/// Maximum number of reports per second that a hub or the root gets, as long as the interval between
/// two reports of a gateway is within its bounds.
const MAX_REPORTS_PER_S: u64 = 400;
/// Bounds of the time between two reports. A group receives only a few new requests in the shortest;
/// the longest leaves time for two lost reports before the last one expires.
const INTERVAL_MS: std::ops::RangeInclusive<u64> = 25..=150;

/// Returns the number of cells of a fleet of `gateways`.
pub fn cell_count(gateways: usize) -> usize {
    gateways.div_ceil(GATEWAYS_PER_CELL).max(1)
}

/// Returns the time between two reports of a member to its hub, in a fleet of `gateways`.
pub fn member_interval_ms(gateways: usize) -> u64 {
    interval_ms(gateways.div_ceil(cell_count(gateways)))
}

/// Returns the time between two reports of a hub to the root, in a fleet of `gateways`.
pub fn cell_interval_ms(gateways: usize) -> u64 {
    interval_ms(cell_count(gateways))
}

/// Returns the time between two reports of each of `reporters` to one gateway.
fn interval_ms(reporters: usize) -> u64 {
    let interval_ms = reporters as u64 * 1_000 / MAX_REPORTS_PER_S;
    interval_ms.clamp(*INTERVAL_MS.start(), *INTERVAL_MS.end())
}

/// What one gateway knows as a hub and as the root. `K` identifies a gateway.
#[derive(Debug)]
pub struct LoadCell<K> {
    /// Reports of the members of this gateway's cell, of itself among them if it is a member.
    members: LoadAggregator<K>,
    /// Sums of the cells of hubs for which this gateway is the root, by hub and part of the report.
    cells: LoadAggregator<(K, u8)>,
    /// Load of all other cells, from the root's answers.
    other_cells: PeerLoad,
}

impl<K> Default for LoadCell<K> {
    fn default() -> LoadCell<K> {
        LoadCell {
            members: LoadAggregator::default(),
            cells: LoadAggregator::default(),
            other_cells: PeerLoad::default(),
        }
    }
}

impl<K: Ord + Clone> LoadCell<K> {
    /// Records the report of a member, or of this gateway itself.
    pub fn on_member_report(&mut self, from: K, reports: Vec<TargetReport>, now: TimeMs) {
        self.members.on_report(from, reports, now);
    }

    /// Records one part of a hub's report on its cell.
    pub fn on_cell_report(&mut self, from: K, part: u8, reports: Vec<TargetReport>, now: TimeMs) {
        self.cells.on_report((from, part), reports, now);
    }

    /// Records the root's answer, or a part of it.
    pub fn on_root_answer(&mut self, loads: &[TargetReport], now: TimeMs) {
        self.other_cells.on_answer(loads, now);
    }

    /// Returns whether any gateway reported as a member lately.
    pub fn has_members(&self, now: TimeMs) -> bool {
        self.members.has_reports(now)
    }

    /// Returns the load of the cell, which its hub reports to the root.
    pub fn load_of_members(&mut self, now: TimeMs) -> Vec<TargetReport> {
        self.members.load_without(|_| false, now)
    }

    /// Returns the load of all gateways except the member `member`. `is_root` says whether this gateway
    /// is the root.
    pub fn load_for_member(&mut self, member: &K, is_root: bool, now: TimeMs) -> Vec<TargetReport> {
        let members = self.members.load_without(|gateway| gateway == member, now);
        let others = if is_root {
            self.cells.load_without(|_| false, now)
        } else {
            self.other_cells.reports(now)
        };
        added(&members, &others)
    }

    /// Returns the load of all cells except that of the hub `hub`. For the root.
    pub fn load_for_cell(&mut self, hub: &K, now: TimeMs) -> Vec<TargetReport> {
        let members = self.members.load_without(|gateway| gateway == hub, now);
        let cells = self.cells.load_without(|(from, _)| from == hub, now);
        added(&members, &cells)
    }
}

/// Returns the sum of two loads, in the order of the targets' digests.
fn added(a: &[TargetReport], b: &[TargetReport]) -> Vec<TargetReport> {
    let mut all: BTreeMap<_, TargetReport> = BTreeMap::new();
    for report in a.iter().chain(b) {
        all.entry(report.target)
            .and_modify(|total| total.merge(report))
            .or_insert(*report);
    }
    all.into_values().collect()
}
