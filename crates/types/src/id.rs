//! Names of machines, places, customers and requests.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Longest accepted name, in bytes. Names travel in UDP messages, so they stay short.
pub const MAX_NAME_BYTES: usize = 64;

/// Why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{text:?} is not a name: use 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'")]
pub struct ParseIdError {
    /// The refused text.
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
            /// The name as text.
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
    /// A machine. A replacement on the same address has another incarnation, not another name.
    VmId
);
name_type!(
    /// A node of this system.
    NodeId
);
name_type!(
    /// A set of VMs joined by one fast fabric. Replica groups never leave it.
    FabricDomainId
);
name_type!(
    /// A data centre.
    DataCentreId
);
name_type!(
    /// A customer.
    OrganisationId
);
name_type!(
    /// A declared deployment of one model.
    DeploymentId
);
name_type!(
    /// A plain service beside the model engines.
    ServiceId
);
name_type!(
    /// A replica group, unique over the fleet and never used again after it is dissolved.
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
            /// A new id; ids made later on one node sort later.
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
    /// A caller's request, over all its attempts.
    RequestId
);
uuid_type!(
    /// One attempt to run a request on an upstream. Answers to older attempts are dropped.
    AttemptId
);
uuid_type!(
    /// A caller's key for a request that runs at most once. As a UUIDv7 it carries its time of
    /// issue.
    IdempotencyKey
);
