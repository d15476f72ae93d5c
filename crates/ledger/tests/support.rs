//! Simulated store and slot owners, whose calls to the store are carried out one at a time.

use std::collections::BTreeMap;

use jacinthpoint_ledger::{
    Action, Op, Page, PageName, PageVersion, ReadResult, SlotLedger, Ticket, WriteResult,
};
use jacinthpoint_types::{AttemptId, Deadline, IdempotencyKey, TimeMs};
use jacinthpoint_wire::{ClaimRequest, ClaimVerdict, RequestDigest, ScopedKey};
use uuid::Uuid;

pub const BATCH_MS: u64 = 20;
pub const WAIT_MS: u64 = 2_000;

/// Result of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The call takes effect and is answered.
    Answered,
    /// The call takes effect, and its answer is lost.
    AnswerLost,
    /// The call is not answered, and does not take effect before [`Store::deliver_delayed`].
    Delayed,
    /// The call is refused.
    Refused,
}

/// Simulated store of the platform.
#[derive(Debug, Default, Clone)]
pub struct Store {
    pages: BTreeMap<PageName, (PageVersion, Page)>,
    /// Writes with the result [`CallResult::Delayed`].
    pub delayed: Vec<(PageName, PageVersion, Page)>,
}

impl Store {
    pub fn read(&self, name: PageName) -> (PageVersion, Page) {
        self.pages.get(&name).cloned().unwrap_or_default()
    }

    pub fn write(&mut self, name: PageName, expected: PageVersion, page: Page) -> WriteResult {
        let (version, current) = self.read(name);
        if version != expected {
            return WriteResult::Conflict(version, current);
        }
        let version = PageVersion(version.0 + 1);
        self.pages.insert(name, (version, page));
        WriteResult::Written(version)
    }

    /// Lets delayed writes take effect if the page still has the version that they expect.
    pub fn deliver_delayed(&mut self) {
        for (name, expected, page) in std::mem::take(&mut self.delayed) {
            let _ = self.write(name, expected, page);
        }
    }
}

/// Owner of a slot, its calls in progress and the verdicts that it returned.
#[derive(Debug)]
pub struct Owner {
    pub ledger: SlotLedger,
    pub calls: Vec<Action>,
    pub verdicts: Vec<(Ticket, ClaimVerdict)>,
}

impl Owner {
    pub fn new() -> Owner {
        Owner {
            ledger: SlotLedger::new(0, BATCH_MS),
            calls: Vec::new(),
            verdicts: Vec::new(),
        }
    }

    pub fn submit(&mut self, now: TimeMs, ticket: u64, op: Op) {
        let deadline = Deadline::after_ms(now, WAIT_MS);
        let actions = self.ledger.submit(now, Ticket(ticket), op, deadline);
        self.add_actions(actions);
    }

    pub fn tick(&mut self, now: TimeMs) {
        let actions = self.ledger.tick(now);
        self.add_actions(actions);
    }

    /// Carries out the oldest call. Returns `false` if there is none.
    pub fn step(&mut self, now: TimeMs, store: &mut Store, call_result: CallResult) -> bool {
        if self.calls.is_empty() {
            return false;
        }
        let actions = match self.calls.remove(0) {
            Action::Read { name } => {
                let (version, page) = store.read(name);
                let result = match call_result {
                    CallResult::Answered => ReadResult::Page(version, page),
                    _ => ReadResult::Failed,
                };
                self.ledger.on_read(now, name, result)
            }
            Action::Write {
                name,
                expected,
                page,
            } => {
                let result = write(store, name, expected, page, call_result);
                self.ledger.on_written(now, name, result)
            }
            Action::Reply { .. } => Vec::new(),
        };
        self.add_actions(actions);
        true
    }

    /// Advances the time by 20 batch periods and carries out every call on the way.
    pub fn settle(&mut self, now: &mut TimeMs, store: &mut Store) {
        for _ in 0..20 {
            *now = now.plus_ms(BATCH_MS);
            self.tick(*now);
            while self.step(*now, store, CallResult::Answered) {}
        }
    }

    pub fn verdict(&self, ticket: u64) -> Option<&ClaimVerdict> {
        let found = self.verdicts.iter().find(|(t, _)| *t == Ticket(ticket));
        found.map(|(_, verdict)| verdict)
    }

    fn add_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Reply { ticket, verdict } => self.verdicts.push((ticket, verdict)),
                call => self.calls.push(call),
            }
        }
    }
}

fn write(
    store: &mut Store,
    name: PageName,
    expected: PageVersion,
    page: Page,
    call_result: CallResult,
) -> WriteResult {
    match call_result {
        CallResult::Answered => store.write(name, expected, page),
        CallResult::AnswerLost => {
            let _ = store.write(name, expected, page);
            WriteResult::Ambiguous
        }
        CallResult::Delayed => {
            store.delayed.push((name, expected, page));
            WriteResult::Ambiguous
        }
        CallResult::Refused => WriteResult::NotWritten,
    }
}

/// Returns a key issued at a Unix time. `number` distinguishes keys of the same time.
pub fn key(unix_ms: u64, number: u16) -> ScopedKey {
    let bits = u128::from(unix_ms) << 80 | 7 << 76 | 0b10 << 62 | u128::from(number);
    ScopedKey {
        organisation: "coralbank".parse().expect("a valid name"),
        key: IdempotencyKey(Uuid::from_u128(bits)),
    }
}

/// Returns a request for a new claim on a key.
pub fn claim(key: &ScopedKey) -> ClaimRequest {
    ClaimRequest {
        key: key.clone(),
        digest: RequestDigest(7),
        claim: AttemptId::new(),
        runner: "node-1".parse().expect("a valid name"),
        replaces: None,
        wait_ms: WAIT_MS as u32,
    }
}
