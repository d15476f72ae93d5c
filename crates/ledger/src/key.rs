//! Rules for idempotency keys: which are accepted, and in which page their records are kept.

use jacinthpoint_types::{IdempotencyKey, Outcome};
use jacinthpoint_wire::ScopedKey;
use xxhash_rust::xxh3::xxh3_64;

/// Number of slots over which keys are distributed. All nodes must use the same number, so it is
/// not a setting.
pub const SLOTS: u16 = 8;
/// Time after its issue for which a key is accepted and its record is kept.
pub const WINDOW_MS: u64 = 600_000;
/// Time by which a key's issue may lie in the future, because its caller's clock is ahead.
pub const MAX_AHEAD_MS: u64 = 30_000;
/// Largest supported difference between the clocks of two nodes.
pub const MAX_NODE_SKEW_MS: u64 = 30_000;
/// Length of a bucket, the time span whose keys share a page in each slot. A short bucket keeps the
/// pages small.
pub const BUCKET_MS: u64 = 2_000;
/// Number of pages per slot. Large enough that no page is reused while any node accepts its keys.
/// The clocks of two nodes differ by at most [`MAX_NODE_SKEW_MS`]; counting it twice leaves a
/// margin.
pub const PAGES_PER_SLOT: u64 = (WINDOW_MS + MAX_AHEAD_MS + 2 * MAX_NODE_SKEW_MS) / BUCKET_MS + 1;

/// Number of the time span of [`BUCKET_MS`] in which a key was issued.
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

/// Name of the stored object that holds the records of a page. In the stored name, `place` stands
/// for the page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("slot-{slot}-place-{index}")]
pub struct PageName {
    /// The slot of the page. The owner of the slot writes the page.
    pub slot: u16,
    /// Index among the pages of the slot, below [`PAGES_PER_SLOT`].
    pub index: u16,
}

/// Reason why a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum KeyError {
    /// The key is not a UUIDv7.
    #[display("the key is not a UUIDv7")]
    NotV7,
    /// The key was issued more than [`WINDOW_MS`] ago.
    #[display("the key is older than the time that keys are kept")]
    TooOld,
    /// The key was issued more than [`MAX_AHEAD_MS`] in the future.
    #[display("the key's time of issue is {ahead_ms} ms in the future")]
    TooFarAhead {
        /// Time by which the issue lies in the future.
        ahead_ms: u64,
    },
}

impl KeyError {
    /// Returns what is known of the request. Although the key is refused here, the request may have
    /// run earlier under the key, when the key was still accepted, or may run at a node whose clock
    /// differs and that accepts the key.
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

/// Returns the bucket of a key if the key is acceptable at the wall-clock time `unix_now_ms`.
///
/// # Errors
///
/// Fails if the key is not a UUIDv7, or was issued too long ago or too far in the future.
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

/// Returns the bucket of a key that its runner has already checked, or `None` if the key is not a
/// UUIDv7.
pub(crate) fn bucket_of(key: IdempotencyKey) -> Option<Bucket> {
    issued_unix_ms(key).map(|issued_ms| Bucket(issued_ms / BUCKET_MS))
}

/// Returns the time of issue of a UUIDv7, which its upper 48 bits hold, or `None` for any other
/// UUID.
fn issued_unix_ms(key: IdempotencyKey) -> Option<u64> {
    const VERSION_7: u128 = 7;
    let bits = key.0.as_u128();
    let is_v7 = (bits >> 76) & 0xf == VERSION_7 && (bits >> 62) & 0b11 == 0b10;
    is_v7.then_some((bits >> 80) as u64)
}

impl Bucket {
    /// Returns the page in which a slot keeps the records of this bucket.
    pub fn page(self, slot: u16) -> PageName {
        PageName {
            slot,
            index: (self.0 % PAGES_PER_SLOT) as u16,
        }
    }
}

/// Returns the slot of a key.
pub fn slot_of(key: &ScopedKey) -> u16 {
    let mut bytes = key.key.0.as_bytes().to_vec();
    bytes.extend_from_slice(key.organisation.as_str().as_bytes());
    (xxh3_64(&bytes) % u64::from(SLOTS)) as u16
}
