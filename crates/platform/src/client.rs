//! HTTP client of the Object API.

use std::{
    io::{self, Read},
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use serde::{Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::{
    error::PlatformError,
    member::Members,
    object::{Object, Version},
};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time limit for a response. A watch adds its own wait to it.
const ANSWER_TIMEOUT_MS: u64 = 2_000;
/// Maximum length of the body of a response. A list is the longest.
const MAX_BODY_BYTES: u64 = 16 * 1_024 * 1_024;
/// Length up to which the text of a refusal is read.
const MAX_ERROR_BYTES: u64 = 4 * 1_024;

/// Numbers of calls made by one client. The platform counts and charges each call.
#[derive(Debug, Default)]
pub struct Calls {
    /// Number of reads, lists and watches.
    pub reads: AtomicU64,
    /// Number of conditional updates.
    pub writes: AtomicU64,
}

/// Client of the Object API. Cheap to share between threads behind an `Arc`.
#[derive(Debug)]
pub struct Platform {
    base_url: String,
    calls: Calls,
}

impl Platform {
    /// Returns a client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Platform {
        Platform {
            base_url: format!("http://{address}"),
            calls: Calls::default(),
        }
    }

    /// Returns the numbers of calls made so far.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Reads an object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform refuses the call, cannot be reached or does not respond in
    /// time.
    pub fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, PlatformError> {
        let url = format!("{}/objects/{kind}/{name}", self.base_url);
        self.read_optional(&url, ANSWER_TIMEOUT_MS)
    }

    /// Lists the objects of a kind.
    ///
    /// # Errors
    ///
    /// As for [`Platform::get`].
    pub fn list(&self, kind: &str) -> Result<Vec<Object>, PlatformError> {
        let url = format!("{}/objects/{kind}", self.base_url);
        Ok(self
            .read_optional(&url, ANSWER_TIMEOUT_MS)?
            .unwrap_or_default())
    }

    /// Waits at most `wait_ms` until an object's version is above `seen` and returns the object, or
    /// `None` if its version has not changed or the object does not exist.
    ///
    /// # Errors
    ///
    /// As for [`Platform::get`].
    pub fn watch(
        &self,
        kind: &str,
        name: &str,
        seen: Version,
        wait_ms: u64,
    ) -> Result<Option<Object>, PlatformError> {
        let url = format!(
            "{}/objects/{kind}/{name}?above={seen}&wait_ms={wait_ms}",
            self.base_url
        );
        self.read_optional(&url, wait_ms + ANSWER_TIMEOUT_MS)
    }

    /// Writes an object if its version is still `expected`, and returns its new version. Version 0
    /// means that the object does not exist yet.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::Conflict`] if the object has another version. After an error that
    /// [is ambiguous](PlatformError::is_ambiguous), the write may have taken effect.
    pub fn update(
        &self,
        kind: &str,
        name: &str,
        expected: Version,
        value: &impl Serialize,
    ) -> Result<Version, PlatformError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        // `NoAnswer`, although nothing was sent: the caller reads the object again, which does no
        // harm.
        let body = serde_json::to_vec(value).map_err(no_answer)?;
        let answer = attohttpc::put(format!("{}/objects/{kind}/{name}", self.base_url))
            .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
            .read_timeout(Duration::from_millis(ANSWER_TIMEOUT_MS))
            .header("If-Match", expected.to_string())
            .bytes(body)
            .send()
            .map_err(transport_error)?;
        if answer.status().as_u16() == 409 {
            let current = Box::new(read_json(answer)?);
            return Err(PlatformError::Conflict { current });
        }
        let object: Object = parse_answer(answer)?;
        Ok(object.version)
    }

    /// Returns the platform's list of VMs, which lags behind the actual state. Entries that cannot be read
    /// do not hide the others.
    ///
    /// # Errors
    ///
    /// As for [`Platform::get`].
    pub fn members(&self) -> Result<Members, PlatformError> {
        let url = format!("{}/membership", self.base_url);
        let entries: Option<Vec<Box<RawValue>>> = self.read_optional(&url, ANSWER_TIMEOUT_MS)?;
        let mut list = Members::default();
        for entry in entries.unwrap_or_default() {
            match serde_json::from_str(entry.get()) {
                Ok(member) => list.members.push(member),
                Err(error) => list.refused.push(error.to_string()),
            }
        }
        Ok(list)
    }

    /// Sends a read and decodes the response. Returns `None` for status 404 (not found) or 304 (not
    /// changed).
    fn read_optional<T: DeserializeOwned>(
        &self,
        url: &str,
        timeout_ms: u64,
    ) -> Result<Option<T>, PlatformError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let answer = attohttpc::get(url)
            .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
            .read_timeout(Duration::from_millis(timeout_ms))
            .send()
            .map_err(transport_error)?;
        match answer.status().as_u16() {
            404 | 304 => Ok(None),
            _ => parse_answer(answer).map(Some),
        }
    }
}

fn parse_answer<T: DeserializeOwned>(answer: attohttpc::Response) -> Result<T, PlatformError> {
    let status = answer.status().as_u16();
    if !answer.is_success() {
        let text = read_start(answer, MAX_ERROR_BYTES).unwrap_or_default();
        let message = String::from_utf8_lossy(&text).into_owned();
        return Err(PlatformError::Refused { status, message });
    }
    read_json(answer)
}

/// Reads a JSON body; fails if it is longer than [`MAX_BODY_BYTES`].
fn read_json<T: DeserializeOwned>(answer: attohttpc::Response) -> Result<T, PlatformError> {
    let bytes = read_start(answer, MAX_BODY_BYTES + 1).map_err(no_answer)?;
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err(no_answer("the answer is too long"));
    }
    serde_json::from_slice(&bytes).map_err(no_answer)
}

/// Reads a body up to a length.
fn read_start(answer: attohttpc::Response, max_bytes: u64) -> io::Result<Vec<u8>> {
    let (_, _, body) = answer.split();
    let mut bytes = Vec::new();
    body.take(max_bytes).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn no_answer(error: impl ToString) -> PlatformError {
    PlatformError::NoAnswer {
        message: error.to_string(),
    }
}

/// A refused connection shows that the request was not sent. After any other error, the platform may
/// have executed it.
fn transport_error(error: attohttpc::Error) -> PlatformError {
    let message = error.to_string();
    match error.kind() {
        attohttpc::ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            PlatformError::Unreachable { message }
        }
        _ => PlatformError::NoAnswer { message },
    }
}
