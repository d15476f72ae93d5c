//! Callers' keys, which are stored as digests and compared in constant time.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Length of a SHA-256 digest in bytes.
const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a caller's key, written as 64 hexadecimal digits.
///
/// Keys are random strings of high entropy, so a fast hash function is sufficient.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// Error for a string that is not a key digest.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a key digest is 64 hexadecimal digits, the SHA-256 of the key")]
pub struct ParseDigestError;

/// Returns the digest of a key that a caller sent.
pub fn key_digest(key: &str) -> KeyDigest {
    KeyDigest(Sha256::digest(key.as_bytes()).into())
}

impl KeyDigest {
    /// Compares two digests in a time that does not depend on where they differ.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl FromStr for KeyDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<KeyDigest, ParseDigestError> {
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(ParseDigestError);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ParseDigestError)?;
        }
        Ok(KeyDigest(bytes))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = ParseDigestError;

    fn try_from(text: String) -> Result<KeyDigest, ParseDigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.to_string()
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    /// Prints no digits, so that a digest never appears in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
