//! Deserializers of fields whose JSON representation differs from their Rust type.

use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// Maximum duration in seconds: 1 year.
const MAX_SECONDS: f64 = 31_536_000.0;

/// Maximum integer: an `f64` represents all integers up to this one (2^53) exactly.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Deserializes a number of milliseconds.
pub(crate) fn milliseconds<'de, D: Deserializer<'de>>(source: D) -> Result<Duration, D::Error> {
    duration(f64::deserialize(source)? / MILLISECONDS_PER_SECOND)
}

/// Deserializes a number of milliseconds, or null for `None`.
pub(crate) fn optional_milliseconds<'de, D: Deserializer<'de>>(
    source: D,
) -> Result<Option<Duration>, D::Error> {
    match Option::<f64>::deserialize(source)? {
        Some(value) => duration(value / MILLISECONDS_PER_SECOND).map(Some),
        None => Ok(None),
    }
}

/// Deserializes a number of seconds, or null for zero.
pub(crate) fn seconds_or_zero<'de, D: Deserializer<'de>>(source: D) -> Result<Duration, D::Error> {
    duration(Option::<f64>::deserialize(source)?.unwrap_or(0.0))
}

/// Deserializes a non-negative integer, also in floating-point notation (`3.0`).
pub(crate) fn whole<'de, D, T>(source: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: TryFrom<u64>,
{
    let value = f64::deserialize(source)?;
    if !(0.0..=MAX_EXACT_INTEGER).contains(&value) || value.fract() != 0.0 {
        return Err(D::Error::custom(format_args!("{value} is no whole number")));
    }
    T::try_from(value as u64).map_err(|_| D::Error::custom(format_args!("{value} is too large")))
}

/// Deserializes a value, or null for its default.
pub(crate) fn or_default<'de, D, T>(source: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(Option::deserialize(source)?.unwrap_or_default())
}

fn duration<E: Error>(seconds: f64) -> Result<Duration, E> {
    if (0.0..=MAX_SECONDS).contains(&seconds) {
        Ok(Duration::from_secs_f64(seconds))
    } else {
        Err(E::custom("must lie between 0 and a year"))
    }
}
