//! The frame around each record: the payload's length and its CRC-32, both as little-endian 32-bit numbers, then
//! the payload. A process that is killed can tear only the frame it was writing, so a reader stops at the first
//! frame that is incomplete or does not match its checksum.

/// Length in bytes of the header: the payload's length and checksum.
const HEADER_LEN: usize = 8;

/// A complete frame at the beginning of a byte slice.
pub(crate) struct Frame<'a> {
    /// Header and payload.
    pub(crate) bytes: &'a [u8],
    pub(crate) payload: &'a [u8],
}

/// Appends a frame around the payload that `write_payload` appends.
pub(crate) fn write_frame(out: &mut Vec<u8>, write_payload: impl FnOnce(&mut Vec<u8>)) {
    let header_start = out.len();
    out.extend_from_slice(&[0; HEADER_LEN]);
    let payload_start = out.len();
    write_payload(out);
    let length = (out.len() - payload_start) as u32;
    let checksum = crc32fast::hash(&out[payload_start..]);
    out[header_start..header_start + 4].copy_from_slice(&length.to_le_bytes());
    out[header_start + 4..payload_start].copy_from_slice(&checksum.to_le_bytes());
}

/// The first frame of `bytes`; `None` if it is torn or damaged, or if `bytes` is empty.
pub(crate) fn read_frame(bytes: &[u8]) -> Option<Frame<'_>> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..HEADER_LEN)?.try_into().ok()?);
    let end = HEADER_LEN.checked_add(length)?;
    let payload = bytes.get(HEADER_LEN..end)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    Some(Frame {
        bytes: &bytes[..end],
        payload,
    })
}
