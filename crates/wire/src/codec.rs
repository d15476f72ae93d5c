//! Encoding: a version byte, then one `postcard` value; on TCP after a length of four bytes.

use std::io::{self, Read, Write};

use serde::{Serialize, de::DeserializeOwned};

/// Version of the messages between nodes.
const WIRE_VERSION: u8 = 1;

/// Largest datagram, below the usual MTU less the IP and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Largest TCP frame: the platform's largest value, its keys and some room.
pub const MAX_FRAME_BYTES: usize = 2 * 1024 * 1024;

/// Why bytes are not a message of this release.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum DecodeError {
    /// The message is of another version of the protocol.
    #[display("message of version {version}")]
    Version {
        /// The version it names.
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

/// Decodes a message, which must fill `bytes`.
///
/// # Errors
///
/// Fails on another version, on malformed bytes and on bytes left over.
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
/// Fails as the writer does, or if the message is larger than [`MAX_FRAME_BYTES`].
pub fn write_frame(writer: &mut impl Write, message: &impl Serialize) -> io::Result<()> {
    let bytes = encode(message);
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "frame too large",
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
/// Fails as the reader does, with `InvalidData` if the frame is too large or not a message.
pub fn read_frame<T: DeserializeOwned>(reader: &mut impl Read) -> io::Result<T> {
    let mut length = [0; 4];
    reader.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "frame too large",
        ));
    }
    // Grows with what arrives, so that a lying length cannot claim memory.
    let mut bytes = Vec::new();
    reader.take(length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    decode(&bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
