//! The frame format: the body's length and its CRC-32, both as little-endian 32-bit numbers, followed by the body.

use serde::{de::DeserializeOwned, Serialize};

/// The maximum length of a body, in bytes: the longest command and its metadata.
pub const MAX_BODY_LEN: usize = 9 << 20;
/// The length of the header before the body, in bytes.
pub const HEADER_LEN: usize = 8;

/// The reason why a frame is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length in the header exceeds the maximum.
    #[error("an oversized frame")]
    Oversized,
    /// The body does not match its checksum or is not of the expected type.
    #[error("a torn frame")]
    Torn,
}

/// The decoded header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// The body's length in bytes.
    pub length: usize,
    /// The body's CRC-32.
    pub checksum: u32,
}

/// Encodes a frame with `value` as its body.
pub fn encode_frame<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = postcard::to_extend(value, vec![0; HEADER_LEN])
        .expect("writing a derived form to memory does not fail");
    let length = (bytes.len() - HEADER_LEN) as u32;
    let checksum = crc32fast::hash(&bytes[HEADER_LEN..]);
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes[4..HEADER_LEN].copy_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Decodes a header.
///
/// # Errors
/// [`FrameError::Oversized`] if the body would be longer than `max_body_len` bytes.
pub fn decode_header(
    bytes: [u8; HEADER_LEN],
    max_body_len: usize,
) -> Result<FrameHeader, FrameError> {
    let [a, b, c, d, e, f, g, h] = bytes;
    let length = u32::from_le_bytes([a, b, c, d]) as usize;
    if length > max_body_len {
        return Err(FrameError::Oversized);
    }
    Ok(FrameHeader {
        length,
        checksum: u32::from_le_bytes([e, f, g, h]),
    })
}

/// Decodes a complete body.
///
/// # Errors
/// [`FrameError::Torn`] if the body does not match the checksum, is not a valid `T`, or has trailing bytes.
pub fn decode_body<T: DeserializeOwned>(body: &[u8], checksum: u32) -> Result<T, FrameError> {
    if crc32fast::hash(body) != checksum {
        return Err(FrameError::Torn);
    }
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err(FrameError::Torn),
    }
}
