//! Records in which operators declare organisations, deployments and services.
//!
//! Operators keep records as TOML files under version control. The platform stores them as JSON in
//! one object, so that a set of records is accepted completely or not at all. Each record names its
//! schema version. A record of the previous version is converted when it is read but stored
//! unchanged, so that a node of the previous release can still read it.

pub use crate::{
    auth::{KeyDigest, key_digest},
    change::{Change, changes},
    config::{CONFIG_KIND, CONFIG_NAME, Config, ConfigError, RecordsObject},
    delta::{Delta, apply_delta, delta},
    error::RecordError,
    record::{Deployment, Fencing, Organisation, Record, Service},
    schema::{CURRENT_SCHEMA, PREVIOUS_SCHEMA, record_from_json},
    source::{SourceFault, SourceFile, records_from_files},
    toml_text::to_toml,
};

mod auth;
mod change;
mod config;
mod delta;
mod error;
mod fault;
mod record;
mod reference;
mod schema;
mod source;
mod toml_text;
