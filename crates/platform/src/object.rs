//! Versioned objects.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of an object: 0 before it exists, then raised by every write.
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
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct Version(pub u64);

/// An object as the platform returns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name within its kind.
    pub name: String,
    /// Its version.
    pub version: Version,
    /// Its value.
    pub value: Value,
}
