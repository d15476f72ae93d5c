//! Priority classes of requests and deployments.

use serde::{Deserialize, Serialize};

/// Priority class of a request or deployment at a node. A gateway's routes have numeric priorities
/// instead. Variants are ordered by importance, the most important first.
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
    /// Work that must be served even under overload.
    Critical,
    /// Work whose result a person waits for.
    High,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that can be delayed, such as reports and batch jobs.
    Batch,
}
