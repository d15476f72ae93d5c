//! Configuration of a node: all records of one revision.

use std::collections::BTreeMap;

use jacinthpoint_types::{DeploymentId, OrganisationId, Revision, ServiceId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    auth::KeyDigest,
    error::RecordError,
    record::{Deployment, Organisation, Record, Service},
    schema::record_from_json,
};

/// Kind of the platform object that holds the records.
pub const CONFIG_KIND: &str = "config";
/// Name of the platform object that holds the records.
pub const CONFIG_NAME: &str = "records";

/// Value of the platform object: the records, unconverted, each in the schema version in which it
/// was written.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordsObject {
    /// Records, each with its own `schema` field.
    pub records: Vec<Value>,
}

/// Reason why a set of records cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("record {index}: {error}")]
pub struct ConfigError {
    /// Index of the faulty record in the set, from 0.
    pub index: usize,
    /// Fault of the record.
    pub error: RecordError,
}

/// All valid records of one revision, indexed by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Revision of the set of records: the version of the platform object that holds them.
    pub revision: Revision,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Deployments by name.
    pub deployments: BTreeMap<DeploymentId, Deployment>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, Service>,
}

impl Config {
    /// Parses a set of records.
    ///
    /// # Errors
    ///
    /// Returns the first fault. The caller then keeps its current configuration.
    pub fn from_object(revision: Revision, object: &RecordsObject) -> Result<Config, ConfigError> {
        let mut config = Config {
            revision,
            ..Config::default()
        };
        for (index, value) in object.records.iter().enumerate() {
            let record = record_from_json(value).map_err(|error| ConfigError { index, error })?;
            config
                .insert(record)
                .map_err(|error| ConfigError { index, error })?;
        }
        Ok(config)
    }

    fn insert(&mut self, record: Record) -> Result<(), RecordError> {
        let (kind, name) = record.key();
        let message = format!("{kind} `{name}` is declared twice");
        let is_new = match record {
            Record::Organisation(new) => self.organisations.insert(new.name.clone(), new).is_none(),
            Record::Deployment(new) => self.deployments.insert(new.name.clone(), new).is_none(),
            Record::Service(new) => self.services.insert(new.name.clone(), new).is_none(),
        };
        if is_new {
            Ok(())
        } else {
            Err(RecordError::Invalid { message })
        }
    }

    /// Returns the organisation whose key has this digest.
    ///
    /// Compares every key, each in constant time, so that the duration reveals nothing about the
    /// digests.
    pub fn organisation_of_key(&self, digest: &KeyDigest) -> Option<&Organisation> {
        let mut found = None;
        for organisation in self.organisations.values() {
            for known in &organisation.key_sha256 {
                if known.matches(digest) {
                    found = Some(organisation);
                }
            }
        }
        found
    }

    /// Returns the deployments that a caller's model name selects: `model[+adapter]`,
    /// `model[+adapter]@version` or the name of a deployment. A model name without `+adapter` selects
    /// only deployments without an adapter.
    pub fn deployments_named(&self, model: &str) -> Vec<&Deployment> {
        let is_named = |deployment: &&Deployment| {
            let full = deployment.model_ref().to_string();
            let without_version = full.split('@').next().unwrap_or_default();
            model == full || model == without_version || model == deployment.name.as_str()
        };
        self.deployments.values().filter(is_named).collect()
    }
}
