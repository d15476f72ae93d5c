//! Finds the ends of requests in the bytes of a caller's connection.
//!
//! The HTTP library reads as much as it gets, and keeps what follows a request. Whether a caller is idle or has
//! begun its next request is then not visible to the gateway. So the library gets no bytes beyond the end of a
//! head or body, as far as that end is known, until it reads again.

/// Which bytes the HTTP library may get with one read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBound {
    /// Those up to the end of a head.
    Head,
    /// This number at most: the rest of a body.
    Body(u64),
    /// All. The end of the body is not known beforehand.
    Open,
}

/// Search for the empty line at the end of a head, over several reads.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeadEnd {
    /// Whether nothing but a carriage return has followed the last line feed.
    is_line_empty: bool,
}

impl HeadEnd {
    /// Returns the number of bytes up to the end of the head, if it ends within `bytes`. The next search is for the
    /// end of another head.
    ///
    /// Lines may end with a line feed alone, as the HTTP library allows. Empty lines before a head look like the
    /// end of one.
    pub fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.is_line_empty => {
                    *self = HeadEnd::default();
                    return Some(index + 1);
                }
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        None
    }
}
