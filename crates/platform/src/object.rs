//! Versioned objects of the platform.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Version of an object: 0 before the object exists, increased by one with every write.
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

/// One object, in the format that the platform returns.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name, unique within the kind of the object.
    pub name: String,
    /// Current version.
    pub version: Version,
    /// Value that the last write stored.
    pub value: Value,
}
