//! What comes under suspicion when an upstream crashes: a request, or a part of its prompt.

use std::{fmt, str::FromStr};

use jacinthpoint_types::{PromptPartId, PromptParts, RequestDigest};

/// Prefix of the text form of a request, which ids of parts do not have.
const REQUEST_PREFIX: &str = "request-";

/// A request, or a part that several prompts have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectId {
    /// A part of prompts.
    Part(PromptPartId),
    /// A request, however often it comes.
    Request(RequestDigest),
}

impl SuspectId {
    /// Returns whether this is a request.
    pub fn is_request(self) -> bool {
        matches!(self, SuspectId::Request(_))
    }

    /// Returns the part; `None` for a request.
    pub(crate) fn part(self) -> Option<PromptPartId> {
        match self {
            SuspectId::Part(part) => Some(part),
            SuspectId::Request(_) => None,
        }
    }
}

impl fmt::Display for SuspectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SuspectId::Part(part) => part.fmt(f),
            SuspectId::Request(digest) => write!(f, "{REQUEST_PREFIX}{digest}"),
        }
    }
}

/// Error for a text that names neither a request nor a part.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{text:?} is neither the id of a prompt's part nor {REQUEST_PREFIX} and a digest")]
pub struct ParseSuspectError {
    /// The invalid text.
    pub text: String,
}

impl FromStr for SuspectId {
    type Err = ParseSuspectError;

    fn from_str(text: &str) -> Result<SuspectId, ParseSuspectError> {
        let suspect = match text.strip_prefix(REQUEST_PREFIX) {
            Some(digest) => digest.parse().ok().map(SuspectId::Request),
            None => text.parse().ok().map(SuspectId::Part),
        };
        suspect.ok_or_else(|| ParseSuspectError {
            text: text.chars().take(80).collect(),
        })
    }
}

/// What gateways know of a request's content.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestContent {
    /// Parts of the prompt; `None` if the caller named none.
    pub parts: Option<PromptParts>,
    /// Digest of the request; `None` until its body has been read.
    pub digest: Option<RequestDigest>,
}

impl RequestContent {
    /// Returns the parts that other prompts may have, too, and the last part.
    pub(crate) fn split_prompt(&self) -> (&[PromptPartId], Option<PromptPartId>) {
        match &self.parts {
            Some(parts) => (&parts.shared, Some(parts.last)),
            None => (&[], None),
        }
    }

    /// Returns what of the request may come under suspicion.
    pub fn suspects(&self) -> impl Iterator<Item = SuspectId> + '_ {
        let shared = self.split_prompt().0.iter();
        let shared = shared.map(|part| SuspectId::Part(*part));
        shared.chain(self.digest.map(SuspectId::Request))
    }
}
