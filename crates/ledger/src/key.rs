//! Which keys may be used, and where their records are kept.

use jacinthpoint_types::{IdempotencyKey, Outcome};
use jacinthpoint_wire::KeyOf;
use xxhash_rust::xxh3::xxh3_64;

/// Slots that keys are dealt over. All nodes must agree on it, so it is no setting.
pub const SLOTS: u16 = 8;
/// Time that keys are kept after their issue.
pub const WINDOW_MS: u64 = 600_000;
/// How far a caller's clock may be ahead.
pub const MAX_AHEAD_MS: u64 = 30_000;
/// How far the clocks of two nodes may differ.
pub const MAX_NODE_SKEW_MS: u64 = 30_000;
/// Keys issued within this time share a page: short, so that a page stays small.
pub const BUCKET_MS: u64 = 2_000;
/// Pages of a slot. Enough that none is used again while a node still accepts its keys.
pub const PAGES_PER_SLOT: u64 = (WINDOW_MS + MAX_AHEAD_MS + 2 * MAX_NODE_SKEW_MS) / BUCKET_MS + 1;

/// Number of the time span in which a key was issued.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    derive_more::Display,
)]
pub struct Bucket(pub u64);

/// The object that holds a key's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("slot-{slot}-place-{index}")]
pub struct PageName {
    /// The slot, whose owner writes the page.
    pub slot: u16,
    /// Place among the slot's pages.
    pub index: u16,
}

/// Why a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum KeyError {
    /// It is not a UUIDv7.
    #[display("the key is not a UUIDv7")]
    NotV7,
    /// It was issued too long ago.
    #[display("the key is older than the time that keys are kept")]
    TooOld,
    /// It is issued in the future.
    #[display("the key's time of issue is {ahead_ms} ms in the future")]
    TooFarAhead {
        /// How far.
        ahead_ms: u64,
    },
}

impl KeyError {
    /// What can be said of the request: an earlier sending may have run under a key that was
    /// acceptable then, or is acceptable to a node whose clock differs.
    pub fn outcome(self) -> Outcome {
        match self {
            KeyError::NotV7 => Outcome::NotRun,
            KeyError::TooOld => Outcome::Unknown,
            KeyError::TooFarAhead { ahead_ms } if ahead_ms <= MAX_AHEAD_MS + MAX_NODE_SKEW_MS => {
                Outcome::Unknown
            }
            KeyError::TooFarAhead { .. } => Outcome::NotRun,
        }
    }
}

/// Checks a key against the wall clock and tells the bucket of its issue.
///
/// # Errors
///
/// Refuses what is no UUIDv7, and a key outside the window.
pub fn check_key(key: IdempotencyKey, unix_now_ms: u64) -> Result<Bucket, KeyError> {
    let issued_ms = issued_unix_ms(key).ok_or(KeyError::NotV7)?;
    if unix_now_ms.saturating_sub(issued_ms) > WINDOW_MS {
        return Err(KeyError::TooOld);
    }
    let ahead_ms = issued_ms.saturating_sub(unix_now_ms);
    if ahead_ms > MAX_AHEAD_MS {
        return Err(KeyError::TooFarAhead { ahead_ms });
    }
    Ok(Bucket(issued_ms / BUCKET_MS))
}

/// Bucket of a key that another node has checked; `None` if it is no UUIDv7.
pub(crate) fn bucket_of(key: IdempotencyKey) -> Option<Bucket> {
    issued_unix_ms(key).map(|issued_ms| Bucket(issued_ms / BUCKET_MS))
}

fn issued_unix_ms(key: IdempotencyKey) -> Option<u64> {
    const VERSION_7: u128 = 7;
    let bits = key.0.as_u128();
    let is_v7 = (bits >> 76) & 0xf == VERSION_7 && (bits >> 62) & 0b11 == 0b10;
    is_v7.then_some((bits >> 80) as u64)
}

impl Bucket {
    /// The page of this bucket in a slot.
    pub fn page(self, slot: u16) -> PageName {
        PageName {
            slot,
            index: (self.0 % PAGES_PER_SLOT) as u16,
        }
    }
}

/// The slot of a key.
pub fn slot_of(key: &KeyOf) -> u16 {
    let mut bytes = key.key.0.as_bytes().to_vec();
    bytes.extend_from_slice(key.organisation.as_str().as_bytes());
    (xxh3_64(&bytes) % u64::from(SLOTS)) as u16
}
