//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Longest event that is kept while its end is awaited.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// An event is longer than any upstream sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EventTooLong;

/// Holds back the part of a stream whose event is not complete.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    rest: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes in bytes and returns all whole events that are complete now.
    pub(super) fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        let whole = if self.rest.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            self.rest.extend_from_slice(&bytes);
            let Some(end) = last_event_end(&self.rest) else {
                let is_too_long = self.rest.len() > MAX_EVENT_BYTES;
                return if is_too_long {
                    Err(EventTooLong)
                } else {
                    Ok(None)
                };
            };
            self.rest.split_to(end).freeze()
        };
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id.to_owned());
        }
        Ok(Some(whole))
    }

    /// Id of the last whole event.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether a part of an event is held back.
    pub(super) fn has_rest(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops a part of an event: its upstream broke off in the middle of it.
    pub(super) fn drop_rest(&mut self) {
        self.rest.clear();
    }

    /// The part of an event at the end of a whole stream.
    pub(super) fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    (1..=bytes.len())
        .rev()
        .find(|end| ends_event(&bytes[..*end]))
}

/// The value of the last `id` field.
fn last_id(events: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text
        .lines()
        .rev()
        .find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim())
}
