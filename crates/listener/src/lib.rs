//! Closes a TCP listener without resetting connections.
//!
//! The kernel establishes connections on its own as long as a listener is open, and resets those that
//! were not accepted when it closes. However often `accept` is called before, one may arrive in between:
//! its caller sees a connection that was established and ends without an answer. So connection attempts
//! are ignored for a moment first, then what was established is accepted, and then the listener closes.
//! The kernel of the caller repeats an ignored attempt after about a second, and is refused.

use std::{io, os::fd::AsFd};

use socket2::SockRef;

/// Time between [`ignore_attempts`] and the last `accept`. Handshakes that had begun are complete by then.
pub const HANDSHAKE_MS: u64 = 20;

/// Makes the kernel ignore new attempts to connect to a listener, until it is closed. Connections whose
/// handshake has begun can still be accepted.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::Unsupported`], or the error of the operating system, if the listener cannot
/// ignore attempts. Connections may then be reset as it closes.
pub fn ignore_attempts(listener: &impl AsFd) -> io::Result<()> {
    filter_attempts(SockRef::from(listener))
}

/// Attaches a filter that drops the first segment of each handshake.
#[cfg(target_os = "linux")]
fn filter_attempts(listener: SockRef<'_>) -> io::Result<()> {
    use socket2::SockFilter;

    /// Offset of the flags in the TCP header, with which the filter's input begins.
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    const DROP: u32 = 0;
    const KEEP: u32 = u32::MAX;
    // Codes of the classic BPF instructions; see linux/bpf_common.h.
    const LOAD_BYTE: u16 = 0x30;
    const AND: u16 = 0x54;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;

    listener.attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, DROP),
        SockFilter::new(RETURN, 0, 0, KEEP),
    ])
}

#[cfg(not(target_os = "linux"))]
fn filter_attempts(_listener: SockRef<'_>) -> io::Result<()> {
    Err(io::ErrorKind::Unsupported.into())
}
