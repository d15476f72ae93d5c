//! The records of one page, as the platform holds them.

use jacinthpoint_types::{AttemptId, NodeId};
use jacinthpoint_wire::{RequestDigest, ScopedKey};
use serde::{Deserialize, Serialize};

use crate::key::Bucket;

/// Most records of a page; about 250 bytes each keep it below the platform's megabyte.
const MAX_RECORDS: usize = 3_500;

/// Version of a page in the platform's store; 0 before it exists.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display,
)]
pub struct PageVersion(pub u64);

/// One key that was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    #[serde(flatten)]
    pub key: ScopedKey,
    /// What was asked for.
    pub digest: RequestDigest,
    /// The claim that may run it.
    pub claim: AttemptId,
    /// The node that made the claim.
    pub runner: NodeId,
}

/// The started keys of one bucket in one slot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The bucket. It only rises.
    pub bucket: Bucket,
    /// The records.
    pub records: Vec<Record>,
}

impl Page {
    /// The record of a key.
    pub fn find(&self, key: &ScopedKey) -> Option<&Record> {
        self.records.iter().find(|record| &record.key == key)
    }

    /// Empties the page if it is of an older bucket.
    pub(crate) fn advance(&mut self, bucket: Bucket) {
        if bucket > self.bucket {
            self.bucket = bucket;
            self.records.clear();
        }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= MAX_RECORDS
    }

    /// Puts a record in, in place of another of its key.
    pub(crate) fn put(&mut self, record: Record) {
        self.remove(&record.key);
        self.records.push(record);
    }

    pub(crate) fn remove(&mut self, key: &ScopedKey) {
        self.records.retain(|record| &record.key != key);
    }
}
