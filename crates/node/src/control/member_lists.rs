//! Holds the newest known membership list of the platform and its predecessors. A node that has one
//! of the predecessors is sent only the difference.

use std::{collections::VecDeque, sync::Arc};

use jacinthpoint_platform::PlatformMember;
use jacinthpoint_records::{Delta, apply_delta, delta};
use jacinthpoint_types::{TimeMs, rendezvous_weight};

use crate::events::log_event;

/// Number of lists kept.
const MAX_LISTS: usize = 16;

/// Holds one version of the membership list.
#[derive(Debug)]
pub(crate) struct MemberList {
    pub(crate) digest: u64,
    pub(crate) members: Arc<Vec<PlatformMember>>,
    /// The entries in JSON. Those that this build cannot read are in none of `members`.
    pub(crate) entries: Vec<String>,
}

impl MemberList {
    /// Parses entries in JSON.
    fn from_entries(entries: Vec<String>) -> MemberList {
        let read = |entry: &String| {
            let member = serde_json::from_str::<PlatformMember>(entry);
            member.inspect_err(|error| log_refused(error, entry)).ok()
        };
        MemberList {
            digest: digest(&entries),
            members: Arc::new(entries.iter().filter_map(read).collect()),
            entries,
        }
    }
}

fn log_refused(error: &serde_json::Error, entry: &str) {
    log_event!(
        warn, PlatformFailed, %error, entry,
        "an entry of a membership list cannot be read; the others are used"
    );
}

/// Returns the digest of a list. It is never 0, because digest 0 means that no list is known.
fn digest(entries: &[String]) -> u64 {
    rendezvous_weight("membership-list", &entries.join("\n")).max(1)
}

/// Holds the membership lists that one node has obtained.
#[derive(Debug, Default)]
pub(crate) struct MemberLists {
    /// Lists in the order obtained, the newest last.
    lists: VecDeque<Arc<MemberList>>,
    /// Time at which the newest list was last known to match the platform's, on this node's clock.
    /// Any node may have read it.
    read_at: TimeMs,
    /// Why entries of the platform's last list were refused.
    refused: Vec<String>,
}

impl MemberLists {
    /// Records why entries of the platform's list were refused, and returns whether that is news.
    pub(crate) fn replace_refused(&mut self, refused: &[String]) -> bool {
        let is_changed = self.refused != refused;
        self.refused = refused.to_vec();
        is_changed
    }

    /// Returns the newest list, if any is known.
    pub(crate) fn newest(&self) -> Option<&Arc<MemberList>> {
        self.lists.back()
    }

    /// Returns the members on the newest list; none if no list is known.
    pub(crate) fn members(&self) -> Arc<Vec<PlatformMember>> {
        self.newest()
            .map(|list| list.members.clone())
            .unwrap_or_default()
    }

    /// Returns the digest of the newest list, 0 if no list is known.
    pub(crate) fn digest(&self) -> u64 {
        self.newest().map_or(0, |list| list.digest)
    }

    /// Returns the time at which the newest list was last known to match the platform's.
    pub(crate) fn read_at(&self) -> TimeMs {
        self.read_at
    }

    /// Returns whether a list that was read at `read_at` should be fetched. A list that was read
    /// before this node's list would undo later changes.
    pub(crate) fn should_fetch(&self, digest: u64, read_at: TimeMs) -> bool {
        digest != self.digest() && read_at > self.read_at
    }

    /// Records that the list with this digest was current at `read_at`. Has no effect if this
    /// node's list has another digest.
    pub(crate) fn confirm(&mut self, digest: u64, read_at: TimeMs) {
        if digest == self.digest() {
            self.read_at = self.read_at.max(read_at);
        }
    }

    /// Records a list that was read at `read_at`, given as entries in JSON. A list that is older
    /// than this node's list is dropped.
    pub(crate) fn record(&mut self, entries: Vec<String>, read_at: TimeMs) {
        if read_at < self.read_at && self.newest().is_some() {
            return;
        }
        if self.newest().is_some_and(|list| list.entries == entries) {
            self.read_at = read_at;
            return;
        }
        self.read_at = read_at;
        let list = MemberList::from_entries(entries);
        self.lists.push_back(Arc::new(list));
        if self.lists.len() > MAX_LISTS {
            self.lists.pop_front();
        }
    }

    /// Records a list given as its difference from this node's list. `digest` is the digest of the
    /// resulting list.
    pub(crate) fn record_change(&mut self, digest: u64, change: &Delta, read_at: TimeMs) {
        let entries = self
            .newest()
            .and_then(|list| apply_delta(&list.entries, change));
        // If this node's list changed after the request was sent, the digests differ and the change
        // is dropped.
        if let Some(entries) = entries.filter(|entries| self::digest(entries) == digest) {
            self.record(entries, read_at);
        }
    }

    /// Returns the difference between the list with this digest and the newest list, or `None` if
    /// the former is no longer kept.
    pub(crate) fn change_since(&self, known_digest: u64) -> Option<Delta> {
        let known = self.lists.iter().find(|list| list.digest == known_digest)?;
        Some(delta(&known.entries, &self.newest()?.entries))
    }
}
