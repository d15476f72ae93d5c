//! The groups' side of a run: load reports and faults.

use crate::load::{
    driver::{Event, Run},
    engines::{EngineGroup, GroupState},
    scenario::{Fault, Scenario},
};

/// How often a group's load is sampled.
const SAMPLE_MS: u64 = 300;
/// Time from a sample until the nodes see it.
const SAMPLE_LAG_MS: u64 = 300;

impl Run<'_> {
    pub(super) fn sample(&mut self) {
        for (group, sampled) in self.groups.iter().zip(&mut self.sampled) {
            *sampled = group.load();
        }
        self.at(self.now_ms + SAMPLE_LAG_MS, Event::Publish);
        if self.now_ms < self.scenario.duration_ms {
            self.at(self.now_ms + SAMPLE_MS, Event::Sample);
        }
    }

    pub(super) fn publish(&mut self) {
        let sampled_at_ms = self.now_ms - SAMPLE_LAG_MS;
        for (index, group) in self.groups.iter().enumerate() {
            if !group.reports_frozen {
                self.reported[index] = self.sampled[index];
                self.reported_at_ms[index] = sampled_at_ms;
            }
        }
    }

    pub(super) fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(first, end) => (first..end).for_each(|group| self.kill(group)),
            Fault::Revive(first, end) => {
                for group in first..end {
                    self.groups[group] = new_group(self.scenario);
                    self.died_at_ms[group] = None;
                }
            }
            Fault::Straggle(group, slowness) => {
                self.groups[group].state = GroupState::Up { slowness };
            }
            Fault::ErrorFast(group) => self.groups[group].state = GroupState::ErrorFast,
            Fault::FreezeReports => {
                self.groups.iter_mut().for_each(|g| g.reports_frozen = true);
            }
        }
    }

    fn kill(&mut self, group: usize) {
        self.groups[group].die();
        self.died_at_ms[group] = Some(self.now_ms);
        let lost: Vec<usize> = (0..self.progress.len())
            .filter(|request| self.progress[*request].group == Some(group))
            .collect();
        for request in lost {
            self.fail_attempt(request, group);
        }
    }
}

pub(super) fn new_group(scenario: &Scenario) -> EngineGroup {
    let mut group = EngineGroup::new(scenario.slots);
    group.is_fifo = scenario.fifo_engines;
    group
}
