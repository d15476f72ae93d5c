//! Limits that upstreams name in their answers.

use std::collections::BTreeMap;

use jacinthpoint_types::{PerSecond, TimeMs, VmId};

/// What an upstream stated about its limit, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Statement {
    /// `None` after the limit ended.
    limit: Option<PerSecond>,
    stated_at: TimeMs,
}

/// Limits of upstreams as one gateway knows them.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    statements: BTreeMap<VmId, Statement>,
}

impl UpstreamLimits {
    /// Records the limit that an upstream names in an answer, or `None` for an answer without one.
    /// Returns whether the limit differs from the one known before.
    pub fn on_answer(&mut self, upstream: &VmId, limit: Option<PerSecond>, now: TimeMs) -> bool {
        let before = self.limit(upstream);
        if before.is_none() && limit.is_none() {
            return false;
        }
        let statement = Statement {
            limit,
            stated_at: now,
        };
        self.statements.insert(upstream.clone(), statement);
        before != limit
    }

    /// Returns the limit of an upstream; `None` if it has none.
    pub fn limit(&self, upstream: &VmId) -> Option<PerSecond> {
        self.statements.get(upstream)?.limit
    }
}
