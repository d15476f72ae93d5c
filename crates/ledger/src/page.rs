//! Records of one page, in the form in which the platform stores them.

use jacinthpoint_types::{AttemptId, NodeId};
use jacinthpoint_wire::{RequestDigest, ScopedKey};
use serde::{Deserialize, Serialize};

use crate::key::Bucket;

/// Largest number of records per page. At about 250 bytes each, the page stays below the platform's
/// limit of one megabyte.
const MAX_RECORDS_PER_PAGE: usize = 3_500;

/// Version of a page in the platform's store; 0 before it exists.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display,
)]
pub struct PageVersion(pub u64);

/// Record of the claim that holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    #[serde(flatten)]
    pub key: ScopedKey,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Id of the claim under which the request may run.
    pub claim: AttemptId,
    /// The node that made the claim and runs the request.
    pub runner: NodeId,
}

/// Holds the records of one bucket of one slot.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Bucket of the records. It never decreases.
    pub bucket: Bucket,
    /// The records.
    pub records: Vec<Record>,
}

impl Page {
    /// Returns the record of a key.
    pub fn find(&self, key: &ScopedKey) -> Option<&Record> {
        self.records.iter().find(|record| &record.key == key)
    }

    /// Removes all records and sets the bucket, if `bucket` is newer than the page's.
    pub(crate) fn advance(&mut self, bucket: Bucket) {
        if bucket > self.bucket {
            self.bucket = bucket;
            self.records.clear();
        }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= MAX_RECORDS_PER_PAGE
    }

    /// Adds a record, in place of any other record of its key.
    pub(crate) fn put(&mut self, record: Record) {
        self.remove(&record.key);
        self.records.push(record);
    }

    pub(crate) fn remove(&mut self, key: &ScopedKey) {
        self.records.retain(|record| &record.key != key);
    }
}
