//! Record types of the current schema version.

use jacinthpoint_types::{DeploymentId, ModelRef, OrganisationId, Priority, ServiceId};
use serde::{Deserialize, Serialize};

use crate::auth::KeyDigest;

/// Number of VMs in a replica group if a deployment does not specify it.
const DEFAULT_GROUP_SIZE: u16 = 8;

/// Names of the record kinds, as files give them in `kind`.
pub(crate) const KINDS: [&str; 3] = ["organisation", "deployment", "service"];

/// One record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// An organisation.
    Organisation(Organisation),
    /// A model to serve.
    Deployment(Deployment),
    /// A plain service to route to.
    Service(Service),
}

impl Record {
    /// Returns the kind and name, which together identify the record.
    pub fn key(&self) -> (&'static str, &str) {
        match self {
            Record::Organisation(organisation) => ("organisation", organisation.name.as_str()),
            Record::Deployment(deployment) => ("deployment", deployment.name.as_str()),
            Record::Service(service) => ("service", service.name.as_str()),
        }
    }
}

/// An organisation with its keys and its limits over the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationId,
    /// Digests of the keys that callers of the organisation may use; two while a key is replaced.
    pub key_sha256: Vec<KeyDigest>,
    /// Highest priority that requests of the organisation may ask for.
    #[serde(default)]
    pub max_priority: Priority,
    /// Maximum number of requests per second; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Maximum number of generated tokens per second; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<f64>,
    /// Maximum number of requests in flight; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency: Option<u32>,
}

/// Specifies whether the engines of a deployment check fencing tokens.
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
    /// Engines refuse an order with an outdated fencing token.
    Refuses,
    /// Engines execute any order. This is the safe assumption if a deployment does not specify it.
    #[default]
    Ignores,
}

/// A model to serve, with the number and size of its replica groups. The names of the model, the
/// adapter and the version have the type of deployment names; they refer to no other deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: DeploymentId,
    /// Base model, which callers name in `model`.
    pub model: DeploymentId,
    /// Adapter applied to the base model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<DeploymentId>,
    /// Version of the weights.
    pub version: DeploymentId,
    /// Number of replica groups to keep serving.
    pub replicas: u16,
    /// Number of VMs in each replica group.
    #[serde(default = "default_group_size")]
    pub group_size: u16,
    /// Number of standby VMs for each replica group.
    #[serde(default)]
    pub standbys: u16,
    /// Priority when VMs are scarce: deployments of lower priority give up VMs first.
    #[serde(default)]
    pub priority: Priority,
    /// Organisations that may use the deployment; empty means all.
    #[serde(default)]
    pub organisations: Vec<OrganisationId>,
    /// Specifies whether the engines check fencing tokens.
    #[serde(default)]
    pub fencing: Fencing,
}

fn default_group_size() -> u16 {
    DEFAULT_GROUP_SIZE
}

impl Deployment {
    /// Returns the model, adapter and version that the replica groups serve.
    pub fn model_ref(&self) -> ModelRef {
        ModelRef {
            model: self.model.clone(),
            adapter: self.adapter.clone(),
            version: self.version.clone(),
        }
    }

    /// Returns whether an organisation may use the deployment.
    pub fn allows(&self, organisation: &OrganisationId) -> bool {
        self.organisations.is_empty() || self.organisations.contains(organisation)
    }
}

/// A plain service, served below `/services/NAME/`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service, under which the platform's membership list also lists its servers.
    pub name: ServiceId,
    /// Whether a request may run twice if the caller does not specify it.
    #[serde(default)]
    pub repeatable: bool,
    /// Organisations that may use the service; empty means all.
    #[serde(default)]
    pub organisations: Vec<OrganisationId>,
}
