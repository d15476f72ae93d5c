//! What a group serves: a model, an optional adapter and a version.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::id::{DeploymentId, ParseIdError};

/// A model with its adapter and version. Two groups may continue each other's answers only when
/// all three are equal.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ModelRef {
    /// The base model.
    pub model: DeploymentId,
    /// The adapter laid over it, if any.
    pub adapter: Option<DeploymentId>,
    /// The version of the weights.
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
