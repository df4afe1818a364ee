//! Fields that a later version has appended to a message.

use serde::{Deserialize, Deserializer};

/// Deserializes the last field of a message as `None` if the message ends before it, as messages of
/// earlier versions do. Those versions ignore the bytes of the field. For fields with
/// `#[serde(deserialize_with = "none_where_missing")]` at the end of everything that is encoded in a
/// frame.
///
/// # Errors
/// None: bytes that are no valid value are also decoded as `None`.
pub fn none_where_missing<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Ok(Option::deserialize(deserializer).unwrap_or_default())
}
