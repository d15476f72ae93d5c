//! Parts of a prompt, as callers name them.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// Id of a part of a prompt. Requests whose prompts have a part in common name the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PromptPartId(pub u128);

/// Error for a text that is not an id of a part.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{text:?} is not an id of a prompt's part: use 1 to 32 hexadecimal digits")]
pub struct ParsePartIdError {
    /// The invalid text.
    pub text: String,
}

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = ParsePartIdError;

    fn from_str(text: &str) -> Result<PromptPartId, ParsePartIdError> {
        let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        u128::from_str_radix(text, 16)
            .ok()
            .filter(|_| is_hexadecimal)
            .map(PromptPartId)
            .ok_or_else(|| ParsePartIdError {
                text: text.chars().take(80).collect(),
            })
    }
}

impl TryFrom<String> for PromptPartId {
    type Error = ParsePartIdError;

    fn try_from(text: String) -> Result<PromptPartId, ParsePartIdError> {
        text.parse()
    }
}

impl From<PromptPartId> for String {
    fn from(id: PromptPartId) -> String {
        id.to_string()
    }
}

/// The parts of one request's prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptParts {
    /// Parts that other prompts may have, too, in their order.
    pub shared: Vec<PromptPartId>,
    /// The last part, which belongs to the request alone or to its session.
    pub last: PromptPartId,
}
