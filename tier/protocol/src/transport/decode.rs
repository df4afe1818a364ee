//! Decoding of messages.

use serde::de::DeserializeOwned;

/// The bytes are not a valid message of the expected type.
#[derive(Debug, thiserror::Error)]
#[error("message {message}, field {field}: {source}")]
pub struct DecodeError {
    /// The expected type.
    pub message: &'static str,
    /// The path of the invalid field, as positions of variants (`8`), fields and elements (`[2]`),
    /// counted from 0, because the wire format has no names; `.` for the message itself.
    pub field: String,
    /// The error of the deserializer.
    pub source: postcard::Error,
}

/// Decodes a message.
///
/// # Errors
/// [`DecodeError`], which names the message and the invalid field.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    postcard::from_bytes(bytes).map_err(|source| describe::<T>(bytes, source))
}

/// Decodes the bytes again and tracks the path of each field. Tracking makes decoding more
/// expensive, and only invalid messages need it.
fn describe<T: DeserializeOwned>(bytes: &[u8], source: postcard::Error) -> DecodeError {
    let mut deserializer = postcard::Deserializer::from_bytes(bytes);
    let field = match serde_path_to_error::deserialize::<_, T>(&mut deserializer) {
        Ok(_) => ".".to_owned(),
        Err(error) => error.path().to_string(),
    };
    DecodeError {
        message: type_name::<T>(),
        field,
        source,
    }
}

/// Returns the type's name without its path.
fn type_name<T>() -> &'static str {
    let name = std::any::type_name::<T>();
    let name_of_generic = name.split('<').next().unwrap_or(name);
    name_of_generic.rsplit("::").next().unwrap_or(name)
}
