//! Identity of a request's content.
//!
//! Callers give each attempt an id of its own, so ids do not tell whether the same request comes again.
//! Its content does, but it is too long to keep or to send to other processes.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// First 128 bits of the SHA-256 hash of a request's content. The hash is cryptographic, so that no
/// caller can give its request the digest of another caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestDigest(pub u128);

/// Error for a text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{text:?} is not the digest of a request: use 32 hexadecimal digits")]
pub struct ParseDigestError {
    /// The invalid text.
    pub text: String,
}

impl RequestDigest {
    /// Number of hexadecimal digits of the text form.
    const DIGITS: usize = 32;

    /// Returns the digest of these fields, in this order.
    pub fn of(fields: &[&[u8]]) -> RequestDigest {
        let mut hash = Sha256::new();
        for field in fields {
            // The length keeps two lists apart whose fields differ only in where they are split.
            hash.update((field.len() as u64).to_le_bytes());
            hash.update(field);
        }
        let hash = hash.finalize();
        let high = hash.iter().take(size_of::<u128>());
        RequestDigest(high.fold(0, |digest, byte| digest << 8 | u128::from(*byte)))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:0width$x}", self.0, width = RequestDigest::DIGITS)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<RequestDigest, ParseDigestError> {
        let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        u128::from_str_radix(text, 16)
            .ok()
            .filter(|_| is_hexadecimal && text.len() == RequestDigest::DIGITS)
            .map(RequestDigest)
            .ok_or_else(|| ParseDigestError {
                text: text.chars().take(80).collect(),
            })
    }
}

impl TryFrom<String> for RequestDigest {
    type Error = ParseDigestError;

    fn try_from(text: String) -> Result<RequestDigest, ParseDigestError> {
        text.parse()
    }
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> String {
        digest.to_string()
    }
}
