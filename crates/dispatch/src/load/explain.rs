//! Explains the choice of a target without making it.

use std::sync::Arc;

use jacinthpoint_types::TimeMs;
use rand::Rng;

use crate::{
    directory::Target,
    load::{LoadTracker, choice::Selection},
};

/// Number of choices from which the share of each target is estimated.
const CHOICES: u32 = 400;

/// Why a target gets a request, or does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// It may get the request.
    Usable,
    /// An earlier attempt was made there.
    Tried,
    /// It makes no progress, or failed requests lately.
    Suspended,
    /// It states that it leaves.
    Leaving,
    /// It wants no requests for a time.
    Paused,
    /// It sheds load, or has no free slot and a full queue.
    Full,
    /// It names a limit or is cold, so a request needs a permit.
    Limited,
}

/// One target as the choice sees it.
#[derive(Debug, Clone)]
pub struct TargetExplanation {
    /// The target.
    pub target: Arc<Target>,
    /// Whether it may get the request.
    pub standing: Standing,
    /// Share of such requests that it would get now, 0 to 1.
    pub share: f64,
    /// Requests of all gateways there.
    pub requests: f64,
    /// Requests that it takes well, see [`crate::Capacities`].
    pub capacity: f64,
    /// Prompt tokens that it has yet to read.
    pub unread_tokens: f64,
    /// Predicted time until it would begin to read the prompt, in milliseconds; `None` without a prompt.
    pub wait_ms: Option<f64>,
}

impl LoadTracker {
    /// Explains a choice by `selection`: each target, in the order given. Nothing is recorded, and no permit is
    /// asked for; limited targets count as usable for the shares.
    pub fn explain(
        &self,
        selection: &Selection<'_>,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> Vec<TargetExplanation> {
        let unlimited = Selection {
            limits: None,
            warm_ups: None,
            ..*selection
        };
        let chosen: Vec<Arc<Target>> = (0..CHOICES)
            .filter_map(|_| self.choose(&unlimited, now, rng).ok())
            .collect();
        let explain = |target: &Arc<Target>| {
            let key = &target.key;
            let times_chosen = chosen.iter().filter(|other| other.key == *key).count();
            let (requests, unread_tokens) = (self.load(key, now), self.unread_tokens(key, now));
            TargetExplanation {
                target: target.clone(),
                standing: self.standing(target, selection, now),
                share: times_chosen as f64 / f64::from(CHOICES),
                requests,
                capacity: self.capacities.requests(key, target.slots, now),
                unread_tokens,
                wait_ms: selection
                    .prompt
                    .map(|prompt| prompt.wait_ms(unread_tokens, requests)),
            }
        };
        selection.targets.iter().map(explain).collect()
    }

    fn standing(&self, target: &Target, selection: &Selection<'_>, now: TimeMs) -> Standing {
        let keys: Vec<_> = (selection.targets.iter())
            .map(|target| target.key.clone())
            .collect();
        let upstream = &target.upstream;
        let is_limited = selection
            .limits
            .is_some_and(|limits| limits.limit(upstream).is_some())
            || selection
                .warm_ups
                .is_some_and(|warm_ups| warm_ups.is_cold(upstream, now));
        if selection.tried.contains(&target.key) {
            Standing::Tried
        } else if self.is_suspended_or_stalled(&target.key, selection.stall_policy, now)
            || !self.ejector.usable(&keys, now).contains(&target.key)
        {
            Standing::Suspended
        } else if self.statements.pause_ms(upstream, now).is_some() {
            Standing::Paused
        } else if !self.statements.takes_requests(upstream, now) {
            Standing::Leaving
        } else if !self.has_room(target, selection.queue_share, now) {
            Standing::Full
        } else if is_limited {
            Standing::Limited
        } else {
            Standing::Usable
        }
    }
}
