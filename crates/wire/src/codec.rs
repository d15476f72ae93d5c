//! Encoding of messages: a version byte, then one `postcard` value. On TCP a frame starts with its
//! length, as four bytes in network byte order.

use std::io::{self, Read, Write};

use serde::{Serialize, de::DeserializeOwned};

/// Version of the messages between nodes.
const WIRE_VERSION: u8 = 1;

/// Maximum size of a datagram: below the usual MTU of 1500 bytes minus IP and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of a TCP frame: large enough for the largest object that the platform stores,
/// with a reserve for the other fields of the message.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Reason for which bytes could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum DecodeError {
    /// The message is of another version of the protocol.
    #[display("message has unsupported protocol version {version}")]
    Version {
        /// Version byte of the message.
        version: u8,
    },
    /// The bytes are not a message.
    #[display("malformed message")]
    Malformed,
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(message, vec![WIRE_VERSION])
        .expect("messages hold no type that postcard cannot encode")
}

/// Decodes a message, which must occupy all of `bytes`.
///
/// # Errors
///
/// Returns [`DecodeError::Version`] for another version, and [`DecodeError::Malformed`] for bytes
/// that are not a message or continue after it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (&version, body) = bytes.split_first().ok_or(DecodeError::Malformed)?;
    if version != WIRE_VERSION {
        return Err(DecodeError::Version { version });
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(DecodeError::Malformed),
    }
}

/// Writes one frame.
///
/// # Errors
///
/// Returns the writer's errors, and `InvalidInput` if the message is larger than
/// [`MAX_FRAME_BYTES`].
pub fn write_frame(writer: &mut impl Write, message: &impl Serialize) -> io::Result<()> {
    let bytes = encode(message);
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            format!(
                "message of {} bytes exceeds the frame limit of {MAX_FRAME_BYTES} bytes",
                bytes.len()
            ),
        ));
    }
    let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(&bytes);
    writer.write_all(&frame)
}

/// Reads one frame.
///
/// # Errors
///
/// Returns the reader's errors, `UnexpectedEof` if the frame is incomplete, and `InvalidData` if it
/// is too large or not a message.
pub fn read_frame<T: DeserializeOwned>(reader: &mut impl Read) -> io::Result<T> {
    let mut length = [0; 4];
    reader.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("frame length of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"),
        ));
    }
    // The buffer grows as bytes arrive, so that a false length does not allocate memory.
    let mut bytes = Vec::new();
    reader.take(length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    decode(&bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
