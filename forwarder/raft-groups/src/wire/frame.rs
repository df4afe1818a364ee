//! Length, checksum, body.

use serde::{de::DeserializeOwned, Serialize};

/// The longest body in bytes: a command of the longest kind with what stands beside it.
pub const LONGEST: usize = 9 << 20;
/// Bytes before the body.
pub const HEAD: usize = 8;

/// Why a frame is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    Oversized,
    Torn,
}

/// A frame with `value` as its body.
pub fn frame<T: Serialize>(value: &T) -> Vec<u8> {
    // Writing to memory what derives its form can't fail; an empty body would be refused by the reader.
    let bytes = postcard::to_extend(value, vec![0; HEAD]).unwrap_or_else(|_| vec![0; HEAD]);
    framed(bytes)
}

/// The same around bytes that begin with [`HEAD`] bytes of room.
pub fn framed(mut bytes: Vec<u8>) -> Vec<u8> {
    let length = (bytes.len() - HEAD) as u32;
    let sum = crc32fast::hash(&bytes[HEAD..]);
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes[4..HEAD].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Length and checksum of the body that follows, if it may be that long.
pub fn head(bytes: [u8; HEAD], longest: usize) -> Result<(usize, u32), Broken> {
    let [a, b, c, d, e, f, g, h] = bytes;
    let length = u32::from_le_bytes([a, b, c, d]) as usize;
    match length <= longest {
        true => Ok((length, u32::from_le_bytes([e, f, g, h]))),
        false => Err(Broken::Oversized),
    }
}

/// The body's value. All of it has to be read.
pub fn body<T: DeserializeOwned>(bytes: &[u8], sum: u32) -> Result<T, Broken> {
    if crc32fast::hash(bytes) != sum {
        return Err(Broken::Torn);
    }
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(Broken::Torn),
    }
}
