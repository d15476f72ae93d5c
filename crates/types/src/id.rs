//! Names of VMs, nodes, data centres, organisations, services, groups and the like, and unique ids
//! of requests.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Maximum length of a name, in bytes. Names are sent in UDP messages, so they must be short.
pub const MAX_NAME_BYTES: usize = 64;

/// Error for a text that is not a valid name, or not a valid [`ModelRef`](crate::ModelRef).
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{text:?} is not a name: use 1 to 64 characters of a-z, A-Z, 0-9, '-', '_', '.'")]
pub struct ParseIdError {
    /// The invalid text.
    pub text: String,
}

fn check_name(text: &str) -> Result<(), ParseIdError> {
    let valid_length = (1..=MAX_NAME_BYTES).contains(&text.len());
    let valid_chars = text
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
    if valid_length && valid_chars {
        Ok(())
    } else {
        Err(ParseIdError {
            text: text.to_owned(),
        })
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                check_name(text)?;
                Ok($name(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

name_type!(
    /// Name of a VM, and of the upstream that runs on it. A VM that is replaced at the same address
    /// may keep its name; the incarnation then differs.
    VmId
);
name_type!(
    /// Name of a node or gateway: one process of `jacinthpoint node` or `jacinthpoint gateway`.
    NodeId
);
name_type!(
    /// Name of a fabric domain: VMs that one fast fabric connects. All members of a replica group
    /// are in the same one.
    FabricDomainId
);
name_type!(
    /// Name of a data centre.
    DataCentreId
);
name_type!(
    /// Name of an organisation, whose requests share limits.
    OrganisationId
);
name_type!(
    /// Name of a model, or of a deployment that serves one model. Both have the same type, because
    /// the `model` field of a request may name either. [`ModelRef`](crate::ModelRef) uses this type
    /// for the adapter and the version of the weights, too.
    DeploymentId
);
name_type!(
    /// Name of a service: upstreams that serve the same requests, with or without model engines.
    ServiceId
);
name_type!(
    /// Name of a replica group. It is unique in the fleet and not used again after the group is
    /// dissolved.
    GroupId
);

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            derive_more::Display, derive_more::FromStr,
        )]
        pub struct $name(pub Uuid);

        impl $name {
            /// Generates an id. It sorts after the ids that this node generated before.
            pub fn new() -> $name {
                $name(Uuid::now_v7())
            }
        }

        impl Default for $name {
            fn default() -> $name {
                $name::new()
            }
        }
    };
}

uuid_type!(
    /// Id of a caller's request, shared by all its attempts.
    RequestId
);
uuid_type!(
    /// Id of one attempt to run a request on an upstream. Answers to older attempts are dropped.
    AttemptId
);
uuid_type!(
    /// Key that a caller sends with a request that must run at most once. It must be a UUIDv7,
    /// which contains its time of issue. This type accepts any UUID; the ledger checks the version.
    IdempotencyKey
);
