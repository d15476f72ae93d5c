//! Reference to the model that a group serves: base model, optional adapter and version.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::id::{DeploymentId, ParseIdError};

/// A base model, its adapter and the version of the weights. A group may continue an answer that
/// another group began only if all three are equal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelRef {
    /// Name of the base model.
    pub model: DeploymentId,
    /// Adapter applied to the base model, if any.
    pub adapter: Option<DeploymentId>,
    /// Version of the weights.
    pub version: DeploymentId,
}

impl fmt::Display for ModelRef {
    /// Writes `model+adapter@version`, or `model@version` without an adapter.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.model)?;
        if let Some(adapter) = &self.adapter {
            write!(f, "+{adapter}")?;
        }
        write!(f, "@{}", self.version)
    }
}

impl FromStr for ModelRef {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<ModelRef, ParseIdError> {
        let invalid = || ParseIdError {
            text: text.to_owned(),
        };
        let (base, version) = text.split_once('@').ok_or_else(invalid)?;
        let (model, adapter) = match base.split_once('+') {
            Some((model, adapter)) => (model, Some(adapter.parse()?)),
            None => (base, None),
        };
        Ok(ModelRef {
            model: model.parse()?,
            adapter,
            version: version.parse()?,
        })
    }
}
