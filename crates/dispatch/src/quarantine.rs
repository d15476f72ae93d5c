//! Quarantine of parts of prompts that crash upstreams.
//!
//! A request can crash the upstream that begins to write its answer. Each retry, and each further
//! request with the same content, then crashes another upstream, until none is left. A gateway cannot
//! look into a request, but callers name the parts of its prompt, and the part that causes the
//! crashes is in all of these requests. No gateway sees more than some of them, and gateways restart.
//! So each gateway records in the store which parts were in requests without an answer at an upstream
//! that crashed, and all gateways draw the same conclusion from these records.
//!
//! An upstream that crashes takes other requests with it, whose parts are under suspicion, too. They
//! are told apart in two ways. A part that an upstream writes an answer on is harmless, which removes
//! what is recorded of it. And a crash has one cause: once a part is in quarantine, the crashes that
//! it was at count for no other part.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{PromptPartId, PromptParts, TimeMs, VmId};
use serde::{Deserialize, Serialize};

/// Number of crashes, each without another explanation, after which a part is put in quarantine.
const MIN_CRASHES: usize = 3;
/// Number of different prompts with the part at these crashes. A request that is retried has the
/// same prompt and may meet several crashes by chance.
const MIN_PROMPTS: usize = 2;
/// Time for which a part has to fulfil these conditions. Other gateways that know that the part is
/// harmless remove its record meanwhile, and records of the same crash arrive.
const CONFIRM_MS: u64 = 600;
/// Time for which a suspicion counts, unless the part is in quarantine by then.
const SUSPICION_VALID_MS: u64 = 60_000;
/// Time for which an answer shows that a part is harmless.
const ANSWER_VALID_MS: u64 = 60_000;
/// Time after which a part is released from quarantine.
const QUARANTINE_MS: u64 = 3_600_000;
/// Maximum number of suspicions in the record of one part. The newest ones are needed to explain the
/// crashes, and the oldest ones for the case that these turn out to have another cause.
const MAX_SUSPICIONS: usize = 16;
/// Number of the oldest suspicions that are kept when there are too many.
const KEPT_SUSPICIONS: usize = 8;
/// Maximum number of parts with a record. Further parts do not come under suspicion.
const MAX_RECORDS: usize = 256;
/// Number of parts known as harmless above which old ones are dropped.
const MAX_ANSWERED_PARTS: usize = 4_096;

/// One crash of an upstream. The start time tells the incarnations of an upstream apart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The upstream that crashed.
    pub upstream: VmId,
    /// Start time of the incarnation that crashed, in Unix milliseconds.
    pub started_unix_ms: u64,
}

/// A request with a part that had no answer yet when its upstream crashed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspicion {
    /// The crash.
    pub crash: CrashId,
    /// Last part of the request's prompt, which identifies the prompt.
    pub prompt: PromptPartId,
    /// Position of the suspected part in the prompt.
    pub position: usize,
    /// The other parts of the prompt that other prompts may have, too.
    pub beside: Vec<PromptPartId>,
}

/// What the store has of one part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRecord {
    /// The suspicions, in the order in which they were added.
    pub suspicions: Vec<Suspicion>,
}

/// Change of a record that is to be written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordWrite {
    /// Creates the record.
    Create(PartRecord),
    /// Replaces the record if it still has this revision.
    Replace(u64, PartRecord),
    /// Removes the record if it still has this revision.
    Remove(u64),
}

/// A part that was put in quarantine or released from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The part.
    pub part: PromptPartId,
    /// Whether it is in quarantine now.
    pub is_quarantined: bool,
    /// Crashes at which it was.
    pub crashes: Vec<CrashId>,
}

/// One part at one gateway.
#[derive(Debug, Default)]
struct Part {
    /// Revision of the record in the store; `None` if there is none.
    revision: Option<u64>,
    /// Suspicions of the record, with the time at which this gateway first saw each.
    stored: Vec<(Suspicion, TimeMs)>,
    /// Suspicions of this gateway that are not in the record yet.
    pending: Vec<(Suspicion, TimeMs)>,
    /// Whether the record is to be removed because the part is harmless.
    is_cleared: bool,
    /// Time since which the part fulfils the conditions of a quarantine.
    fulfilled_since: Option<TimeMs>,
    quarantined_at: Option<TimeMs>,
}

impl Part {
    /// Returns the suspicions that count at `now`.
    fn valid(&self, now: TimeMs) -> impl Iterator<Item = &Suspicion> {
        let is_kept = self.quarantined_at.is_some();
        let known = self.stored.iter().filter(|_| !self.is_cleared);
        known
            .chain(&self.pending)
            .filter(move |(_, at)| is_kept || now.since_ms(*at) < SUSPICION_VALID_MS)
            .map(|(suspicion, _)| suspicion)
    }

    fn has(&self, suspicion: &Suspicion) -> bool {
        let known = self.stored.iter().chain(&self.pending);
        known
            .into_iter()
            .any(|(known, _)| known.crash == suspicion.crash && known.prompt == suspicion.prompt)
    }

    fn crashes(&self, now: TimeMs) -> BTreeSet<&CrashId> {
        self.valid(now).map(|suspicion| &suspicion.crash).collect()
    }

    fn position(&self) -> usize {
        let known = self.stored.iter().chain(&self.pending);
        known.map(|(known, _)| known.position).max().unwrap_or(0)
    }
}

/// Parts under suspicion and in quarantine, as one gateway knows them.
#[derive(Debug, Default)]
pub struct PromptQuarantine {
    parts: BTreeMap<PromptPartId, Part>,
    /// Time of the last sign that a part is harmless, unless it was used up.
    answered_at: BTreeMap<PromptPartId, TimeMs>,
}

impl PromptQuarantine {
    /// Records that an upstream crashed while a request with these parts had no answer there.
    pub fn on_crash(&mut self, parts: &PromptParts, crash: &CrashId, now: TimeMs) {
        for (position, part) in parts.shared.iter().enumerate() {
            // A part that was harmless may crash upstreams from now on, so each sign is used up by one
            // crash.
            let answered_at = self.answered_at.remove(part);
            if answered_at.is_some_and(|at| now.since_ms(at) < ANSWER_VALID_MS) {
                continue;
            }
            if self.parts.len() >= MAX_RECORDS && !self.parts.contains_key(part) {
                continue;
            }
            let suspicion = Suspicion {
                crash: crash.clone(),
                prompt: parts.last,
                position,
                beside: parts
                    .shared
                    .iter()
                    .filter(|other| *other != part)
                    .copied()
                    .collect(),
            };
            let part = self.parts.entry(*part).or_default();
            if !part.has(&suspicion) {
                part.pending.push((suspicion, now));
                limit(&mut part.pending);
            }
        }
    }

    /// Records that an upstream writes an answer to a request with these parts.
    pub fn on_answer(&mut self, parts: &PromptParts, now: TimeMs) {
        for part in &parts.shared {
            if self.answered_at.len() >= MAX_ANSWERED_PARTS {
                self.answered_at
                    .retain(|_, at| now.since_ms(*at) < ANSWER_VALID_MS);
            }
            if self.answered_at.len() < MAX_ANSWERED_PARTS {
                self.answered_at.insert(*part, now);
            }
            if let Some(part) = self.parts.get_mut(part) {
                part.pending.clear();
                part.is_cleared = part.revision.is_some();
            }
        }
    }

    /// Applies the record of a part, as the store has it.
    pub fn on_record(&mut self, id: PromptPartId, record: PartRecord, revision: u64, now: TimeMs) {
        let part = self.parts.entry(id).or_default();
        if part.revision.is_some_and(|known| known > revision) {
            return;
        }
        part.revision = Some(revision);
        let known = std::mem::take(&mut part.stored);
        let stored = record.suspicions.into_iter().take(MAX_SUSPICIONS);
        part.stored = stored
            .map(|suspicion| {
                let mut seen = known.iter().chain(&part.pending);
                let seen = seen.find(|(known, _)| *known == suspicion);
                let seen_at = seen.map_or(now, |(_, at)| *at);
                (suspicion, seen_at)
            })
            .collect();
        let stored = &part.stored;
        let is_stored = |pending: &Suspicion| stored.iter().any(|(known, _)| known == pending);
        part.pending.retain(|(pending, _)| !is_stored(pending));
        let answered_at = self.answered_at.remove(&id);
        if answered_at.is_some_and(|at| now.since_ms(at) < ANSWER_VALID_MS) {
            part.is_cleared = true;
        }
    }

    /// Applies the removal of a part's record: the part was found harmless, or its time is over.
    pub fn on_removed(&mut self, id: PromptPartId) {
        // What this gateway knew before was the reason, or is as old.
        self.answered_at.remove(&id);
        if let Some(part) = self.parts.get_mut(&id) {
            part.revision = None;
            part.stored.clear();
            part.is_cleared = false;
        }
    }

    /// Applies the whole list of records. If the store was restored from an older copy, the
    /// suspicions that it lacks are written again; otherwise they were removed.
    pub fn on_list(
        &mut self,
        records: Vec<(PromptPartId, PartRecord, u64)>,
        is_restored: bool,
        now: TimeMs,
    ) {
        let listed: BTreeSet<PromptPartId> = records.iter().map(|(id, ..)| *id).collect();
        if is_restored {
            for part in self.parts.values_mut() {
                part.revision = None;
                let lost = std::mem::take(&mut part.stored);
                part.pending.extend(lost);
            }
        } else {
            let is_removed = |(id, part): &(&PromptPartId, &Part)| {
                part.revision.is_some() && !listed.contains(id)
            };
            let removed: Vec<_> = self.parts.iter().filter(is_removed).collect();
            let removed: Vec<PromptPartId> = removed.into_iter().map(|(id, _)| *id).collect();
            removed.into_iter().for_each(|id| self.on_removed(id));
        }
        for (id, record, revision) in records {
            let is_new = !self.parts.contains_key(&id);
            self.on_record(id, record, revision, now);
            if let Some(part) = self.parts.get_mut(&id).filter(|_| is_new) {
                // A gateway that starts does not wait for what it can no longer learn.
                part.fulfilled_since = Some(TimeMs(now.0.saturating_sub(CONFIRM_MS)));
            }
        }
    }

    /// Returns a part of a prompt that is in quarantine, if there is one.
    pub fn quarantined(&self, parts: &PromptParts) -> Option<PromptPartId> {
        if self.parts.is_empty() {
            return None;
        }
        let is_quarantined = |id: &&PromptPartId| {
            let part = self.parts.get(id);
            part.is_some_and(|part| part.quarantined_at.is_some())
        };
        parts.shared.iter().find(is_quarantined).copied()
    }

    /// Returns the number of parts in quarantine.
    pub fn len(&self) -> usize {
        let parts = self.parts.values();
        parts.filter(|part| part.quarantined_at.is_some()).count()
    }

    /// Returns whether no part is in quarantine.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Decides which parts are in quarantine, and returns those that changed. To be called after
    /// each change and at least every 100 ms.
    pub fn update(&mut self, now: TimeMs) -> Vec<QuarantineChange> {
        let causes = self.causes(now);
        for (id, part) in &mut self.parts {
            part.fulfilled_since = match causes.contains(id) {
                true => part.fulfilled_since.or(Some(now)),
                false => None,
            };
        }
        let is_confirmed = |part: &Part| {
            part.fulfilled_since
                .is_some_and(|since| now.since_ms(since) >= CONFIRM_MS)
        };
        let confirmed: Vec<PromptPartId> = self
            .parts
            .iter()
            .filter(|(_, part)| is_confirmed(part))
            .map(|(id, _)| *id)
            .collect();
        // A part that has another explanation now is released only once that is confirmed.
        let kept: Vec<PromptPartId> = self
            .parts
            .iter()
            .filter(|(id, part)| {
                part.quarantined_at.is_some() && self.is_cause(**id, &confirmed, now)
            })
            .map(|(id, _)| *id)
            .collect();
        let mut changes = Vec::new();
        for (id, part) in &mut self.parts {
            let is_quarantined = confirmed.contains(id) || kept.contains(id);
            if is_quarantined != part.quarantined_at.is_some() {
                let crashes = part.crashes(now).into_iter().cloned().collect();
                part.quarantined_at = is_quarantined.then_some(now);
                changes.push(QuarantineChange {
                    part: *id,
                    is_quarantined,
                    crashes,
                });
            }
        }
        self.parts
            .retain(|_, part| part.revision.is_some() || part.valid(now).next().is_some());
        changes
    }

    /// Returns the parts that explain the crashes.
    ///
    /// Of several parts that fulfil the conditions, the one that comes latest in its prompts is
    /// taken first, since the fewest requests have it. If one that was taken earlier is not needed
    /// beside the others in the end, it is left out again.
    fn causes(&self, now: TimeMs) -> BTreeSet<PromptPartId> {
        let mut candidates: Vec<_> = self.parts.iter().collect();
        candidates.sort_by_key(|(_, part)| std::cmp::Reverse(part.position()));
        let mut causes: Vec<PromptPartId> = Vec::new();
        for (id, _) in candidates {
            if self.is_cause(*id, &causes, now) {
                causes.push(*id);
            }
        }
        let mut index = 0;
        while index < causes.len() {
            let id = causes.remove(index);
            if self.is_cause(id, &causes, now) {
                causes.insert(index, id);
                index += 1;
            }
        }
        causes.into_iter().collect()
    }

    /// Returns whether a part was at enough crashes that the parts of `others`, besides itself, do
    /// not explain.
    fn is_cause(&self, id: PromptPartId, others: &[PromptPartId], now: TimeMs) -> bool {
        let others = others.iter().filter(|other| **other != id);
        let others: BTreeSet<PromptPartId> = others.copied().collect();
        let explained: BTreeSet<&CrashId> = others
            .iter()
            .filter_map(|other| self.parts.get(other))
            .flat_map(|other| other.crashes(now))
            .collect();
        let Some(part) = self.parts.get(&id) else {
            return false;
        };
        let unexplained = part.valid(now).filter(|suspicion| {
            let mut beside = suspicion.beside.iter();
            !explained.contains(&suspicion.crash) && !beside.any(|part| others.contains(part))
        });
        let (crashes, prompts): (BTreeSet<_>, BTreeSet<_>) = unexplained
            .map(|suspicion| (&suspicion.crash, suspicion.prompt))
            .unzip();
        crashes.len() >= MIN_CRASHES && prompts.len() >= MIN_PROMPTS
    }

    /// Returns the changes of records that are due, the parts that come latest in their prompts
    /// first. `may_expire` is set at the one gateway that removes records whose time is over.
    pub fn due_writes(
        &mut self,
        may_expire: bool,
        now: TimeMs,
    ) -> Vec<(PromptPartId, RecordWrite)> {
        let mut due: Vec<_> = self
            .parts
            .iter_mut()
            .filter_map(|(id, part)| {
                let write = part.due_write(may_expire, now)?;
                Some((part.position(), *id, write))
            })
            .collect();
        due.sort_by_key(|(position, ..)| std::cmp::Reverse(*position));
        due.into_iter().map(|(_, id, write)| (id, write)).collect()
    }
}

impl Part {
    fn due_write(&mut self, may_expire: bool, now: TimeMs) -> Option<RecordWrite> {
        let is_over = match self.quarantined_at {
            Some(at) => now.since_ms(at) >= QUARANTINE_MS,
            None => self.valid(now).next().is_none(),
        };
        match self.revision {
            Some(revision) if self.is_cleared || (may_expire && is_over) => {
                Some(RecordWrite::Remove(revision))
            }
            _ if self.pending.is_empty() => None,
            revision => {
                let all = self.stored.iter().chain(&self.pending);
                let mut suspicions: Vec<_> = all.map(|(suspicion, _)| suspicion.clone()).collect();
                limit(&mut suspicions);
                self.pending
                    .retain(|(pending, _)| suspicions.contains(pending));
                let record = PartRecord { suspicions };
                Some(match revision {
                    Some(revision) => RecordWrite::Replace(revision, record),
                    None => RecordWrite::Create(record),
                })
            }
        }
    }
}

/// Limits suspicions to [`MAX_SUSPICIONS`]: the oldest [`KEPT_SUSPICIONS`] and the newest ones.
fn limit<T>(suspicions: &mut Vec<T>) {
    let surplus = suspicions.len().saturating_sub(MAX_SUSPICIONS);
    if surplus > 0 {
        suspicions.drain(KEPT_SUSPICIONS..KEPT_SUSPICIONS + surplus);
    }
}
