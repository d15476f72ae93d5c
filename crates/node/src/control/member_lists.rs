//! The platform's membership list as this node knows it, with lists before it, so that a node that
//! knows one of those gets only what changed.

use std::{collections::VecDeque, sync::Arc};

use jacinthpoint_platform::PlatformMember;
use jacinthpoint_records::{Delta, apply_delta, delta};
use jacinthpoint_types::{TimeMs, rendezvous_weight};

/// Lists kept.
const MAX_LISTS: usize = 16;

/// One list.
#[derive(Debug)]
pub(crate) struct MemberList {
    pub(crate) digest: u64,
    pub(crate) members: Arc<Vec<PlatformMember>>,
    /// Each entry in JSON.
    pub(crate) entries: Vec<String>,
}

impl MemberList {
    /// A list of entries in JSON; `None` if one cannot be read.
    fn from_entries(entries: Vec<String>) -> Option<MemberList> {
        let members = entries.iter().map(|entry| serde_json::from_str(entry));
        let members: Vec<PlatformMember> = members.collect::<Result<_, _>>().ok()?;
        let digest = digest(&entries);
        Some(MemberList {
            digest,
            members: Arc::new(members),
            entries,
        })
    }
}

/// Digest of a list; never 0, which stands for knowing none.
fn digest(entries: &[String]) -> u64 {
    rendezvous_weight("membership-list", &entries.join("\n")).max(1)
}

/// What one node knows of the list.
#[derive(Debug, Default)]
pub(crate) struct MemberLists {
    /// The newest last.
    lists: VecDeque<Arc<MemberList>>,
    /// When the newest was read from the platform, by whichever node read it.
    read_at: TimeMs,
}

impl MemberLists {
    pub(crate) fn newest(&self) -> Option<&Arc<MemberList>> {
        self.lists.back()
    }

    pub(crate) fn members(&self) -> Arc<Vec<PlatformMember>> {
        self.newest()
            .map(|list| list.members.clone())
            .unwrap_or_default()
    }

    pub(crate) fn digest(&self) -> u64 {
        self.newest().map_or(0, |list| list.digest)
    }

    pub(crate) fn read_at(&self) -> TimeMs {
        self.read_at
    }

    /// Whether a list that was read at `read_at` should be fetched. One that was read earlier than
    /// the own one would bring back what has changed since.
    pub(crate) fn should_fetch(&self, digest: u64, read_at: TimeMs) -> bool {
        digest != self.digest() && read_at > self.read_at
    }

    /// Notes that the own list was still right at `read_at`.
    pub(crate) fn confirm(&mut self, digest: u64, read_at: TimeMs) {
        if digest == self.digest() {
            self.read_at = self.read_at.max(read_at);
        }
    }

    /// Takes a list that was read at `read_at`, given as its entries in JSON. One that is older
    /// than the own one, or cannot be read, is dropped.
    pub(crate) fn record(&mut self, entries: Vec<String>, read_at: TimeMs) {
        if read_at < self.read_at && self.newest().is_some() {
            return;
        }
        if self.newest().is_some_and(|list| list.entries == entries) {
            self.read_at = read_at;
            return;
        }
        let Some(list) = MemberList::from_entries(entries) else {
            return;
        };
        self.read_at = read_at;
        self.lists.push_back(Arc::new(list));
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Takes a list given as its difference from the own one.
    pub(crate) fn record_change(&mut self, digest: u64, change: &Delta, read_at: TimeMs) {
        let entries = self
            .newest()
            .and_then(|list| apply_delta(&list.entries, change));
        // The own list may have changed since the question.
        if let Some(entries) = entries.filter(|entries| self::digest(entries) == digest) {
            self.record(entries, read_at);
        }
    }

    /// What changed since the list with this digest; `None` if that one is not kept.
    pub(crate) fn change_since(&self, known_digest: u64) -> Option<Delta> {
        let known = self.lists.iter().find(|list| list.digest == known_digest)?;
        Some(delta(&known.entries, &self.newest()?.entries))
    }
}
