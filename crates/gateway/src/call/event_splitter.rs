//! Splits a stream of server-sent events into whole events.
//!
//! Frames of the upstream's body need not end at event boundaries. Only whole events are passed on,
//! so that a stream that breaks within an event can be resumed after the last whole one.

use bytes::{Bytes, BytesMut};

/// Maximum length of an incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Error: an incomplete event is longer than [`MAX_EVENT_BYTES`]. Upstreams that work correctly
/// send no such event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EventTooLong;

/// Buffers the event that has not arrived completely, and the id of the last whole event that had
/// one.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    incomplete: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Appends bytes and returns all events that are now complete as one piece; `None` if there is
    /// none.
    pub(super) fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        let whole = if self.incomplete.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            self.incomplete.extend_from_slice(&bytes);
            let Some(end) = last_event_end(&self.incomplete) else {
                let is_too_long = self.incomplete.len() > MAX_EVENT_BYTES;
                return if is_too_long {
                    Err(EventTooLong)
                } else {
                    Ok(None)
                };
            };
            self.incomplete.split_to(end).freeze()
        };
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id.to_owned());
        }
        Ok(Some(whole))
    }

    /// Returns the `id` field of the last whole event that had one.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an incomplete event is buffered.
    pub(super) fn has_incomplete_event(&self) -> bool {
        !self.incomplete.is_empty()
    }

    /// Drops the incomplete event after an upstream broke off within it.
    pub(super) fn drop_incomplete_event(&mut self) {
        self.incomplete.clear();
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

/// Returns the value of the last `id` field.
fn last_id(events: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text
        .lines()
        .rev()
        .find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim())
}
