//! Splits a stream of server-sent events into whole events.
//!
//! Frames of the upstream's body need not end at event boundaries. Only whole events are passed on,
//! so that a stream that breaks within an event can be resumed after the last whole one.

use bytes::{Bytes, BytesMut};

/// Maximum length of an incomplete event that is buffered.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Error of a part of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(super) enum EventError {
    /// An incomplete event is longer than [`MAX_EVENT_BYTES`]. Upstreams that work correctly send no
    /// such event.
    #[display("an event is too long")]
    TooLong,
    /// The attempt does not go on after the event that it was asked to go on after.
    #[display("the stream does not go on after the last event")]
    NoContinuation,
}

/// Point that a stream has reached over all its attempts.
#[derive(Debug, Default)]
pub(super) struct StreamPosition {
    last_id: Option<String>,
    /// Whether an event without an id came after the last one with an id.
    has_unnumbered_end: bool,
}

impl StreamPosition {
    /// Returns the `id` field of the last whole event that had one.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether a stream can go on after the last whole event, that is, whether that event has
    /// an id or there is none.
    pub(super) fn is_resumable(&self) -> bool {
        !self.has_unnumbered_end
    }
}

/// Whole events of an attempt that arrived together.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Piece {
    pub(super) bytes: Bytes,
    /// Whether one of them is part of the stream's content, unlike a comment.
    pub(super) has_content: bool,
}

/// Buffers the event of one attempt that has not arrived completely.
#[derive(Debug)]
pub(super) struct EventSplitter {
    incomplete: BytesMut,
    /// Event that the attempt must go on after, until its first event.
    must_follow: Option<String>,
    /// Whether the attempt has sent an event.
    has_event: bool,
}

impl EventSplitter {
    /// Returns the state before the first byte of an attempt.
    ///
    /// If the attempt is to go on after an event, its first event must have a greater id.
    pub(super) fn new(must_follow: Option<String>) -> EventSplitter {
        EventSplitter {
            incomplete: BytesMut::new(),
            must_follow,
            has_event: false,
        }
    }

    /// Appends bytes and returns all events that are now complete as one piece, and moves the position of the
    /// stream to the last of them; `None` if there is none.
    pub(super) fn push(
        &mut self,
        bytes: Bytes,
        position: &mut StreamPosition,
    ) -> Result<Option<Piece>, EventError> {
        let whole = if self.incomplete.is_empty() && ends_event(&bytes) {
            bytes
        } else {
            let searched = self.incomplete.len();
            self.incomplete.extend_from_slice(&bytes);
            let Some(end) = last_event_end(&self.incomplete, searched) else {
                let is_too_long = self.incomplete.len() > MAX_EVENT_BYTES;
                return if is_too_long {
                    Err(EventError::TooLong)
                } else {
                    Ok(None)
                };
            };
            // Copied, since a part would keep the whole buffer.
            let whole = Bytes::copy_from_slice(&self.incomplete[..end]);
            self.incomplete = BytesMut::from(&self.incomplete[end..]);
            whole
        };
        let has_content = self.record_events(&whole, position)?;
        Ok(Some(Piece {
            bytes: whole,
            has_content,
        }))
    }

    /// Records the ids of whole events, and checks that the first one of an attempt goes on with the
    /// stream. Returns whether there is one that is part of the stream's content.
    fn record_events(
        &mut self,
        whole: &[u8],
        position: &mut StreamPosition,
    ) -> Result<bool, EventError> {
        let (mut has_event, mut has_content, mut last) = (self.has_event, false, None);
        let mut event = Event::default();
        for line in whole.split(|byte| *byte == b'\n') {
            if event.read_line(line) {
                continue;
            }
            let event = std::mem::take(&mut event);
            if event.is_empty {
                continue;
            }
            if let Some(last_id) = &self.must_follow
                && !std::mem::replace(&mut has_event, true)
                && !event.id.is_some_and(|id| is_later(id, last_id))
            {
                return Err(EventError::NoContinuation);
            }
            (has_event, has_content) = (true, true);
            position.has_unnumbered_end = event.id.is_none();
            last = event.id.or(last);
        }
        self.has_event = has_event;
        if let Some(id) = last {
            position.last_id = Some(id.to_owned());
        }
        Ok(has_content)
    }

    /// Returns whether the attempt has sent a whole event.
    pub(super) fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns whether an incomplete event is buffered.
    pub(super) fn has_incomplete_event(&self) -> bool {
        !self.incomplete.is_empty()
    }

    /// Returns the size of the buffer of the incomplete event.
    pub(super) fn buffer_bytes(&self) -> usize {
        self.incomplete.capacity()
    }
}

/// An event, as far as its lines have been read.
struct Event<'a> {
    id: Option<&'a str>,
    /// Whether the event has only lines that are no part of a stream's content: comments and the time
    /// after which callers connect again.
    is_empty: bool,
}

impl Default for Event<'_> {
    fn default() -> Self {
        Event {
            id: None,
            is_empty: true,
        }
    }
}

impl<'a> Event<'a> {
    /// Reads a line without its line feed; returns `false` if it is the empty line that ends the event.
    fn read_line(&mut self, line: &'a [u8]) -> bool {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            return false;
        }
        let is_content = !line.starts_with(b":") && !line.starts_with(b"retry:");
        self.is_empty &= !is_content;
        if let Some(id) = line.strip_prefix(b"id:") {
            self.id = std::str::from_utf8(id).ok().map(str::trim);
        }
        true
    }
}

/// Returns whether an event with the id `id` comes after the one with the id `last_id`. Ids that are no
/// numbers have no known order.
fn is_later(id: &str, last_id: &str) -> bool {
    let number = |id: &str| id.parse::<u64>().ok();
    number(id)
        .zip(number(last_id))
        .is_some_and(|(id, last_id)| id > last_id)
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Returns the last end of an event after the first `searched` bytes.
fn last_event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    (searched + 1..=bytes.len())
        .rev()
        .find(|end| ends_event(&bytes[..*end]))
}
