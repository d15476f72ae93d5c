//! Quarantine of requests, and of parts of prompts, that crash upstreams.
//!
//! A request can crash the upstream that begins to run it. Each retry, and each further request with
//! the same content, then crashes another upstream, until none is left. A gateway cannot look into a
//! request, but the same request has the same digest each time, and callers name the parts of their
//! prompts, of which one may be in all requests that crash upstreams. No gateway sees more than some of
//! them, and gateways restart. So each gateway records in the store which requests and parts had no
//! answer at an upstream that crashed, and all gateways draw the same conclusion from these records.
//!
//! An upstream that crashes takes other requests with it, which are under suspicion, too. They are told
//! apart in two ways. What an upstream writes an answer on is harmless, which removes what is recorded
//! of it. And a crash has one cause: once a request or a part is in quarantine, the crashes that it was
//! at count for no other.
//!
//! What is in quarantine is tried again by single requests, so that an answer can end it.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{PromptPartId, RequestDigest, TimeMs, VmId};
use serde::{Deserialize, Serialize};

use crate::{RequestContent, SuspectId, quarantine::trials::Trials};

mod trials;

/// Number of crashes, each without another explanation, after which a suspect is put in quarantine.
const MIN_CRASHES: usize = 3;
/// Number of different prompts with the part at these crashes. A request that is retried has the
/// same prompt and may meet several crashes by chance.
const MIN_PROMPTS: usize = 2;
/// Number of further crashes that a part must explain to be the cause in place of a request. Prompts with
/// a crashing part bring two with their next request and its retry; a harmless part meets one by chance.
const MIN_FURTHER_CRASHES: usize = 2;
/// Time for which a suspect has to fulfil these conditions. Other gateways that know that the part is
/// harmless remove its record meanwhile, and records of the same crash arrive.
const CONFIRM_MS: u64 = 600;
/// Time for which a suspicion counts, unless the part is in quarantine by then.
const SUSPICION_VALID_MS: u64 = 60_000;
/// Time for which an answer shows that a part is harmless.
const ANSWER_VALID_MS: u64 = 60_000;
/// Time after which a part is released from quarantine.
const PART_QUARANTINE_MS: u64 = 3_600_000;
/// The same for a request. It is shorter, since one request may meet three crashes by chance.
const REQUEST_QUARANTINE_MS: u64 = 600_000;
/// Maximum number of suspicions in the record of one part. The newest ones are needed to explain the
/// crashes, and the oldest ones for the case that these turn out to have another cause.
const MAX_SUSPICIONS: usize = 16;
/// Number of the oldest suspicions that are kept when there are too many.
const KEPT_SUSPICIONS: usize = 8;
/// Maximum number of parts with a record. Further parts do not come under suspicion.
const MAX_RECORDS: usize = 256;
/// Pause before the first record of a request. Most requests that were at a crash by chance are answered
/// by their retry meanwhile and need none.
const FIRST_RECORD_DELAY_MS: u64 = 500;
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

/// A request that had no answer yet when its upstream crashed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspicion {
    /// The crash.
    pub crash: CrashId,
    /// Last part of the request's prompt, which identifies the prompt; `None` if it named no parts.
    pub prompt: Option<PromptPartId>,
    /// Digest of the request; `None` in records of gateways that know no digests.
    #[serde(default)]
    pub digest: Option<RequestDigest>,
    /// Position of the suspected part in the prompt; for a request, the number of its parts.
    pub position: usize,
    /// The parts of the prompt that other prompts may have, too, without the suspected one.
    pub beside: Vec<PromptPartId>,
    /// Whether the gateway had an answer on the suspected part shortly before.
    #[serde(default)]
    pub was_answered: bool,
}

/// What the store has of one suspect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The suspicions, in the order in which they were added.
    pub suspicions: Vec<Suspicion>,
    /// Number of trials since the quarantine began.
    #[serde(default)]
    pub trials: u32,
}

/// Change of a record that is to be written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordWrite {
    /// Creates the record.
    Create(SuspectRecord),
    /// Replaces the record if it still has this revision.
    Replace(u64, SuspectRecord),
    /// Counts a trial in the record if it still has this revision. The gateway may then send one request,
    /// see [`Quarantine::on_trial_counted`].
    CountTrial(u64, SuspectRecord),
    /// Removes the record if it still has this revision.
    Remove(u64),
}

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Nothing of it is in quarantine that it does not try.
    Free,
    /// It is the trial of these suspects. It must not be sent again.
    Trial(Vec<SuspectId>),
    /// This suspect is in quarantine.
    Refused(SuspectId),
}

/// A suspect that was put in quarantine or released from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The suspect.
    pub suspect: SuspectId,
    /// Whether it is in quarantine now.
    pub is_quarantined: bool,
    /// Crashes at which it was.
    pub crashes: Vec<CrashId>,
}

/// One suspect at one gateway.
#[derive(Debug, Default)]
struct Suspect {
    /// Revision of the record in the store; `None` if there is none.
    revision: Option<u64>,
    /// Suspicions of the record, with the time at which this gateway first saw each.
    stored: Vec<(Suspicion, TimeMs)>,
    /// Suspicions of this gateway that are not in the record yet.
    pending: Vec<(Suspicion, TimeMs)>,
    /// Whether the record is to be removed because the suspect is harmless.
    is_cleared: bool,
    /// Time since which the suspect fulfils the conditions of a quarantine.
    fulfilled_since: Option<TimeMs>,
    quarantined_at: Option<TimeMs>,
    trials: Trials,
}

impl Suspect {
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

/// Last sign that a part is harmless.
#[derive(Debug, Clone, Copy)]
struct Answered {
    at: TimeMs,
    /// Whether it was used up by a crash or by a record.
    is_used: bool,
}

impl Answered {
    fn is_valid(self, now: TimeMs) -> bool {
        now.since_ms(self.at) < ANSWER_VALID_MS
    }
}

/// Requests and parts under suspicion and in quarantine, as one gateway knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<SuspectId, Suspect>,
    /// Last sign that each part is harmless. Requests are too many to remember those without a record.
    answered: BTreeMap<PromptPartId, Answered>,
}

impl Quarantine {
    /// Records that an upstream crashed while a request with this content had no answer there.
    pub fn on_crash(&mut self, content: &RequestContent, crash: &CrashId, now: TimeMs) {
        let (shared, prompt) = content.split_prompt();
        let suspicion = |position: usize, was_answered: bool| Suspicion {
            crash: crash.clone(),
            was_answered,
            prompt,
            digest: content.digest,
            position,
            beside: shared
                .iter()
                .filter(|part| shared.get(position) != Some(part))
                .copied()
                .collect(),
        };
        for (position, part) in shared.iter().enumerate() {
            // A part that was harmless may crash upstreams from now on, so each sign is used up by one
            // crash.
            let is_known_harmless = self.use_answer(*part, now);
            if !is_known_harmless {
                let answered = self.answered.get(part);
                let was_answered = answered.is_some_and(|answered| answered.is_valid(now));
                let suspicion = suspicion(position, was_answered);
                self.suspect(SuspectId::Part(*part), suspicion, now);
            }
        }
        if let Some(digest) = content.digest {
            let suspicion = suspicion(shared.len(), false);
            self.suspect(SuspectId::Request(digest), suspicion, now);
        }
    }

    /// Uses the sign that a part is harmless up; returns whether there was one that counts.
    fn use_answer(&mut self, part: PromptPartId, now: TimeMs) -> bool {
        let Some(answered) = self.answered.get_mut(&part) else {
            return false;
        };
        let was_used = std::mem::replace(&mut answered.is_used, true);
        !was_used && answered.is_valid(now)
    }

    /// Adds a suspicion, unless it is known or there are too many suspects of this kind.
    fn suspect(&mut self, id: SuspectId, suspicion: Suspicion, now: TimeMs) {
        if !self.suspects.contains_key(&id) {
            let same_kind = |other: &&SuspectId| other.is_request() == id.is_request();
            if self.suspects.keys().filter(same_kind).count() >= MAX_RECORDS {
                return;
            }
        }
        let suspect = self.suspects.entry(id).or_default();
        if !suspect.has(&suspicion) {
            suspect.pending.push((suspicion, now));
            limit(&mut suspect.pending);
        }
    }

    /// Records that an upstream writes an answer to a request with this content.
    pub fn on_answer(&mut self, content: &RequestContent, now: TimeMs) {
        for part in content.split_prompt().0 {
            if self.answered.len() >= MAX_ANSWERED_PARTS {
                self.answered.retain(|_, answered| answered.is_valid(now));
            }
            if self.answered.len() < MAX_ANSWERED_PARTS || self.answered.contains_key(part) {
                let is_used = false;
                self.answered.insert(*part, Answered { at: now, is_used });
            }
        }
        for id in content.suspects() {
            if let Some(suspect) = self.suspects.get_mut(&id) {
                suspect.pending.clear();
                suspect.is_cleared = suspect.revision.is_some();
            }
        }
    }

    /// Applies the record of a suspect, as the store has it.
    pub fn on_record(&mut self, id: SuspectId, record: SuspectRecord, revision: u64, now: TimeMs) {
        let suspect = self.suspects.entry(id).or_default();
        if suspect.revision.is_some_and(|known| known > revision) {
            return;
        }
        suspect.revision = Some(revision);
        suspect.trials.on_count(record.trials, now);
        let known = std::mem::take(&mut suspect.stored);
        let stored = record.suspicions.into_iter().take(MAX_SUSPICIONS);
        suspect.stored = stored
            .map(|suspicion| {
                let mut seen = known.iter().chain(&suspect.pending);
                let seen = seen.find(|(known, _)| *known == suspicion);
                let seen_at = seen.map_or(now, |(_, at)| *at);
                (suspicion, seen_at)
            })
            .collect();
        let stored = &suspect.stored;
        let is_stored = |pending: &Suspicion| stored.iter().any(|(known, _)| known == pending);
        suspect.pending.retain(|(pending, _)| !is_stored(pending));
        let is_harmless = id.part().is_some_and(|part| self.use_answer(part, now));
        if let Some(suspect) = self.suspects.get_mut(&id).filter(|_| is_harmless) {
            suspect.is_cleared = true;
        }
    }

    /// Applies the removal of a suspect's record: it was found harmless, or its time is over.
    pub fn on_removed(&mut self, id: SuspectId) {
        // What this gateway knew before was the reason, or is as old.
        if let Some(answered) = id.part().and_then(|part| self.answered.get_mut(&part)) {
            answered.is_used = true;
        }
        if let Some(suspect) = self.suspects.get_mut(&id) {
            suspect.revision = None;
            suspect.stored.clear();
            suspect.is_cleared = false;
            suspect.trials = Trials::default();
        }
    }

    /// Applies the whole list of records. If the store was restored from an older copy, the
    /// suspicions that it lacks are written again; otherwise they were removed.
    pub fn on_list(
        &mut self,
        records: Vec<(SuspectId, SuspectRecord, u64)>,
        is_restored: bool,
        now: TimeMs,
    ) {
        let listed: BTreeSet<SuspectId> = records.iter().map(|(id, ..)| *id).collect();
        if is_restored {
            for suspect in self.suspects.values_mut() {
                suspect.revision = None;
                let lost = std::mem::take(&mut suspect.stored);
                suspect.pending.extend(lost);
            }
        } else {
            let is_removed = |(id, suspect): &(&SuspectId, &Suspect)| {
                suspect.revision.is_some() && !listed.contains(id)
            };
            let removed: Vec<_> = self.suspects.iter().filter(is_removed).collect();
            let removed: Vec<SuspectId> = removed.into_iter().map(|(id, _)| *id).collect();
            removed.into_iter().for_each(|id| self.on_removed(id));
        }
        for (id, record, revision) in records {
            let is_new = !self.suspects.contains_key(&id);
            self.on_record(id, record, revision, now);
            if let Some(suspect) = self.suspects.get_mut(&id).filter(|_| is_new) {
                // A gateway that starts does not wait for what it can no longer learn.
                suspect.fulfilled_since = Some(TimeMs(now.0.saturating_sub(CONFIRM_MS)));
            }
        }
    }

    /// Returns what of a request is in quarantine, if anything is.
    pub fn quarantined(&self, content: &RequestContent) -> Option<SuspectId> {
        if self.suspects.is_empty() {
            return None;
        }
        let is_quarantined = |id: &SuspectId| {
            let suspect = self.suspects.get(id);
            suspect.is_some_and(|suspect| suspect.quarantined_at.is_some())
        };
        content.suspects().find(is_quarantined)
    }

    /// Returns whether a request may be sent for the first time, which tries the suspects in `tried` already.
    /// `is_servable` says whether an upstream would take it; then a trial may become due.
    pub fn admit(
        &mut self,
        content: &RequestContent,
        tried: &[SuspectId],
        is_servable: bool,
        now: TimeMs,
    ) -> Admission {
        let is_quarantined = |id: &SuspectId| {
            let suspect = self.suspects.get(id);
            suspect.is_some_and(|suspect| suspect.quarantined_at.is_some())
        };
        let in_quarantine = content.suspects().filter(is_quarantined);
        let in_quarantine: Vec<SuspectId> =
            in_quarantine.filter(|id| !tried.contains(id)).collect();
        let Some(first) = in_quarantine.first().copied() else {
            return Admission::Free;
        };
        let is_granted = |id: &SuspectId| self.suspects[id].trials.is_granted(now);
        let is_trial = in_quarantine.iter().all(is_granted);
        for id in &in_quarantine {
            if let Some(suspect) = self.suspects.get_mut(id) {
                match is_trial {
                    true => suspect.trials.on_sent(),
                    false if is_servable => suspect.trials.on_wanted(now),
                    false => {}
                }
            }
        }
        match is_trial {
            true => Admission::Trial(in_quarantine),
            false => Admission::Refused(first),
        }
    }

    /// Lets this gateway send the trial that it counted in the record of a suspect.
    pub fn on_trial_counted(&mut self, id: SuspectId, now: TimeMs) {
        if let Some(suspect) = self.suspects.get_mut(&id) {
            suspect.trials.grant(now);
        }
    }

    /// Returns the number of suspects in quarantine.
    pub fn len(&self) -> usize {
        let parts = self.suspects.values();
        parts.filter(|part| part.quarantined_at.is_some()).count()
    }

    /// Returns whether nothing is in quarantine.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Decides what is in quarantine, and returns what changed. To be called after
    /// each change and at least every 100 ms.
    pub fn update(&mut self, now: TimeMs) -> Vec<QuarantineChange> {
        let causes = self.causes(now);
        for (id, suspect) in &mut self.suspects {
            suspect.fulfilled_since = match causes.contains(id) {
                true => suspect.fulfilled_since.or(Some(now)),
                false => None,
            };
        }
        let is_confirmed = |suspect: &Suspect| {
            suspect
                .fulfilled_since
                .is_some_and(|since| now.since_ms(since) >= CONFIRM_MS)
        };
        let confirmed: Vec<SuspectId> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_confirmed(suspect))
            .map(|(id, _)| *id)
            .collect();
        // A suspect that has another explanation now is released only once that is confirmed.
        let kept: Vec<SuspectId> = self
            .suspects
            .iter()
            .filter(|(id, suspect)| {
                suspect.quarantined_at.is_some() && self.is_cause(**id, &confirmed, now)
            })
            .map(|(id, _)| *id)
            .collect();
        let mut changes = Vec::new();
        for (id, suspect) in &mut self.suspects {
            let is_quarantined = confirmed.contains(id) || kept.contains(id);
            if is_quarantined != suspect.quarantined_at.is_some() {
                let crashes = suspect.crashes(now).into_iter().cloned().collect();
                suspect.quarantined_at = is_quarantined.then_some(now);
                suspect.trials.on_quarantine(now);
                changes.push(QuarantineChange {
                    suspect: *id,
                    is_quarantined,
                    crashes,
                });
            }
        }
        self.suspects
            .retain(|_, suspect| suspect.revision.is_some() || suspect.valid(now).next().is_some());
        changes
    }

    /// Returns the requests and parts that explain the crashes.
    ///
    /// Of several parts that fulfil the conditions, the one that comes latest in its prompts is taken
    /// first, since the fewest requests have it. Requests are taken before parts, those with the most
    /// crashes first, unless a part explains further crashes. If one that was taken earlier is not needed
    /// beside the others in the end, it is left out again.
    fn causes(&self, now: TimeMs) -> BTreeSet<SuspectId> {
        let candidates = self.suspects.iter();
        let candidates = candidates.filter(|(id, _)| self.is_cause(**id, &[], now));
        let (mut requests, mut parts): (Vec<_>, Vec<_>) =
            candidates.partition(|(id, _)| id.is_request());
        requests.sort_by_key(|(_, request)| std::cmp::Reverse(request.crashes(now).len()));
        parts.sort_by_key(|(_, part)| std::cmp::Reverse(part.position()));
        let (outdone, requests): (Vec<_>, Vec<_>) = requests
            .into_iter()
            .partition(|(id, request)| self.is_outdone(**id, request, &parts, now));
        let mut causes: Vec<SuspectId> = Vec::new();
        for (id, _) in requests.into_iter().chain(parts).chain(outdone) {
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

    /// Returns whether one of these parts explains the crashes of the request, and further ones.
    fn is_outdone(
        &self,
        id: SuspectId,
        request: &Suspect,
        parts: &[(&SuspectId, &Suspect)],
        now: TimeMs,
    ) -> bool {
        let crashes = request.crashes(now);
        parts.iter().any(|(part_id, part)| {
            let further: BTreeSet<&CrashId> = part
                .valid(now)
                .filter(|suspicion| suspicion.digest.map(SuspectId::Request) != Some(id))
                .map(|suspicion| &suspicion.crash)
                .filter(|crash| !crashes.contains(crash))
                .collect();
            further.len() >= MIN_FURTHER_CRASHES && !self.is_cause(id, &[**part_id], now)
        })
    }

    /// Returns whether a suspect was at enough crashes that `others`, besides itself, do not explain.
    fn is_cause(&self, id: SuspectId, others: &[SuspectId], now: TimeMs) -> bool {
        let others = others.iter().filter(|other| **other != id);
        let others: BTreeSet<SuspectId> = others.copied().collect();
        let explained: BTreeSet<&CrashId> = others
            .iter()
            .filter_map(|other| self.suspects.get(other))
            .flat_map(|other| other.crashes(now))
            .collect();
        let Some(suspect) = self.suspects.get(&id) else {
            return false;
        };
        let unexplained = suspect.valid(now).filter(|suspicion| {
            let beside = suspicion.beside.iter().map(|part| SuspectId::Part(*part));
            let digest = suspicion.digest.map(SuspectId::Request);
            !explained.contains(&suspicion.crash)
                && !beside.chain(digest).any(|other| others.contains(&other))
        });
        let (crashes, prompts): (BTreeSet<_>, BTreeSet<_>) = unexplained
            .map(|suspicion| (&suspicion.crash, suspicion.prompt))
            .unzip();
        crashes.len() >= MIN_CRASHES && (id.is_request() || prompts.len() >= MIN_PROMPTS)
    }

    /// Returns whether a suspicion of this gateway is not in its record yet.
    pub fn has_unwritten(&self) -> bool {
        let mut suspects = self.suspects.values();
        suspects.any(|suspect| !suspect.pending.is_empty())
    }

    /// Returns the changes of records that are due, first those of parts, the parts that come latest in
    /// their prompts before others: they are fewer than the requests. `may_expire` is set at the one
    /// gateway that removes records whose time is over.
    pub fn due_writes(&mut self, may_expire: bool, now: TimeMs) -> Vec<(SuspectId, RecordWrite)> {
        let mut due: Vec<_> = self
            .suspects
            .iter_mut()
            .filter_map(|(id, suspect)| {
                let write = suspect.due_write(id.is_request(), may_expire, now)?;
                let order = (id.is_request(), std::cmp::Reverse(suspect.position()));
                Some((order, *id, write))
            })
            .collect();
        due.sort_by_key(|(order, ..)| *order);
        due.into_iter().map(|(_, id, write)| (id, write)).collect()
    }
}

impl Suspect {
    fn due_write(
        &mut self,
        is_request: bool,
        may_expire: bool,
        now: TimeMs,
    ) -> Option<RecordWrite> {
        let is_delayed = is_request
            && self.revision.is_none()
            && self
                .pending
                .iter()
                .all(|(_, at)| now.since_ms(*at) < FIRST_RECORD_DELAY_MS);
        let is_over = match self.quarantined_at {
            Some(at) if is_request => now.since_ms(at) >= REQUEST_QUARANTINE_MS,
            Some(at) => now.since_ms(at) >= PART_QUARANTINE_MS,
            None => self.valid(now).next().is_none(),
        };
        match self.revision {
            Some(revision) if self.is_cleared || (may_expire && is_over) => {
                Some(RecordWrite::Remove(revision))
            }
            Some(revision) if self.is_trial_due(now) => {
                let record = SuspectRecord {
                    trials: self.trials.count() + 1,
                    ..self.next_record()
                };
                Some(RecordWrite::CountTrial(revision, record))
            }
            _ if self.pending.is_empty() || is_delayed => None,
            Some(revision) => Some(RecordWrite::Replace(revision, self.next_record())),
            None => Some(RecordWrite::Create(self.next_record())),
        }
    }

    fn is_trial_due(&self, now: TimeMs) -> bool {
        let was_answered = self.valid(now).any(|suspicion| suspicion.was_answered);
        self.quarantined_at.is_some() && self.trials.is_due(was_answered, now)
    }

    /// Returns the record with the suspicions that are not in it yet.
    fn next_record(&mut self) -> SuspectRecord {
        let all = self.stored.iter().chain(&self.pending);
        let mut suspicions: Vec<_> = all.map(|(suspicion, _)| suspicion.clone()).collect();
        limit(&mut suspicions);
        self.pending
            .retain(|(pending, _)| suspicions.contains(pending));
        SuspectRecord {
            suspicions,
            trials: self.trials.count(),
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
