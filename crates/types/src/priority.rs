//! Priority classes of requests and deployments.

use serde::{Deserialize, Serialize};

/// Priority class, most important first. The order of the variants is the order of importance.
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
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    strum::EnumCount,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Priority {
    /// Work that must survive an overload: a supplier enquiry, a landing declaration.
    Critical,
    /// A person waits for the answer.
    High,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that may wait: reports, batch jobs.
    Batch,
}
