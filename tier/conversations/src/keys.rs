//! Keys of a store's rows. They are part of the stored format and must not change.

use plankhill_protocol::ids::{NodeId, ProgramId, RequestId};

/// Key in [`crate::rows::Table::Metadata`] of the store's incarnation.
pub const INCARNATION_KEY: &[u8] = b"incarnation";
/// Key in [`crate::rows::Table::Metadata`] of the newest view known to the store.
pub const VIEW_KEY: &[u8] = b"view";

/// Key of a turn, in [`crate::rows::Table::Turns`] and in [`crate::rows::Table::Extensions`].
pub fn turn_key(turn: &RequestId) -> Vec<u8> {
    turn.as_str().as_bytes().to_vec()
}

/// Key of a turn's state in its program's account.
pub fn account_key(program: &ProgramId, turn: &RequestId) -> Vec<u8> {
    join_names(&[program.as_str(), turn.as_str()])
}

/// Key of the hint that the store `node` has missed an update of a turn.
pub fn hint_key(node: &NodeId, program: &ProgramId, turn: &RequestId) -> Vec<u8> {
    join_names(&[node.as_str(), program.as_str(), turn.as_str()])
}

/// Splits a key of [`account_key`] or [`hint_key`] into its names; `None` for bytes that are not such a
/// key.
pub fn split_key(key: &[u8]) -> Option<Vec<&str>> {
    let mut names = Vec::new();
    let mut rest = key;
    while !rest.is_empty() {
        let (length, after) = rest.split_first_chunk::<2>()?;
        let (name, after) = after.split_at_checked(usize::from(u16::from_be_bytes(*length)))?;
        names.push(std::str::from_utf8(name).ok()?);
        rest = after;
    }
    Some(names)
}

/// Joins names, each prefixed with its length as a 16-bit big-endian integer.
///
/// Names come from headers of at most a few kilobytes. A name that is too long for the length prefix is
/// truncated, so that no key can be mistaken for the key of other names.
fn join_names(names: &[&str]) -> Vec<u8> {
    let mut key = Vec::with_capacity(names.iter().map(|name| name.len() + 2).sum());
    for name in names {
        let length = u16::try_from(name.len()).unwrap_or(u16::MAX);
        key.extend(length.to_be_bytes());
        key.extend(&name.as_bytes()[..usize::from(length)]);
    }
    key
}
