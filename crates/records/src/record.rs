//! The records of the current schema version.

use jacinthpoint_types::{DeploymentId, ModelRef, OrganisationId, Priority, ServiceId};
use serde::{Deserialize, Serialize};

use crate::auth::KeyDigest;

/// Members of a replica group when a deployment does not say.
const DEFAULT_GROUP_SIZE: u16 = 8;

/// Kinds of records, by the names that their files give them.
pub(crate) const KINDS: [&str; 3] = ["organisation", "deployment", "service"];

/// One declared record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// A customer.
    Organisation(Organisation),
    /// A model to serve.
    Deployment(Deployment),
    /// A plain service to route to.
    Service(Service),
}

impl Record {
    /// Kind and name, which together identify the record.
    pub fn key(&self) -> (&'static str, &str) {
        match self {
            Record::Organisation(organisation) => ("organisation", organisation.name.as_str()),
            Record::Deployment(deployment) => ("deployment", deployment.name.as_str()),
            Record::Service(service) => ("service", service.name.as_str()),
        }
    }
}

/// A customer, its keys and its limits over the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// Digests of the keys its callers may use; two while a key is being changed.
    pub key_sha256: Vec<KeyDigest>,
    /// The most important class its requests may ask for.
    #[serde(default)]
    pub max_priority: Priority,
    /// Requests a second; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Generated tokens a second; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<f64>,
    /// Requests in flight at once; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
}

/// Whether the engines of a deployment check fencing numbers.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fencing {
    /// Orders that carry an old fencing number are refused.
    Refuses,
    /// Any order is obeyed. The safe assumption where nothing is declared.
    #[default]
    Ignores,
}

/// A model to serve, in how many groups of how many VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Its name.
    pub name: DeploymentId,
    /// The base model; callers name it in `model`.
    pub model: DeploymentId,
    /// The adapter laid over it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<DeploymentId>,
    /// The version of the weights.
    pub version: DeploymentId,
    /// Replica groups to keep serving.
    pub replicas: u16,
    /// VMs in each group.
    #[serde(default = "default_group_size")]
    pub group_size: u16,
    /// Standby VMs to keep for each group.
    #[serde(default)]
    pub standbys: u16,
    /// Which deployments give up VMs first when there are too few.
    #[serde(default)]
    pub priority: Priority,
    /// Organisations that may use it; empty means all.
    #[serde(default)]
    pub organisations: Vec<OrganisationId>,
    /// Whether its engines check fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
}

fn default_group_size() -> u16 {
    DEFAULT_GROUP_SIZE
}

impl Deployment {
    /// What its groups serve.
    pub fn model_ref(&self) -> ModelRef {
        ModelRef {
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            version: self.version.clone(),
        }
    }

    /// Whether an organisation may use it.
    pub fn allows(&self, organisation: &OrganisationId) -> bool {
        self.organisations.is_empty() || self.organisations.contains(organisation)
    }
}

/// A plain service, served below `/services/NAME/`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, which the platform's membership list gives its servers too.
    pub name: ServiceId,
    /// Whether a call may run twice when the caller does not say.
    #[serde(default)]
    pub repeatable: bool,
    /// Organisations that may use it; empty means all.
    #[serde(default)]
    pub organisations: Vec<OrganisationId>,
}
