//! A numeric value in the settings file: an integer, a float or a boolean.

use std::fmt;
use std::time::Duration;

use serde::de::{Deserialize, Deserializer, Error, Visitor};
use serde::Serialize;

/// The value of a bound, in the unit of its key; `true` is read as 1 and `false` as 0.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)] // `validator` includes the value in its errors.
pub(crate) struct BoundValue(f64);

impl BoundValue {
    pub(crate) const fn new(value: f64) -> Self {
        BoundValue(value)
    }

    pub(crate) fn value(self) -> f64 {
        self.0
    }

    /// Converts the value in seconds to a duration. Panics on a negative value or NaN, which
    /// validated settings do not contain.
    pub(crate) fn seconds(self) -> Duration {
        Duration::from_secs_f64(self.0)
    }

    /// Converts the value in milliseconds to a duration. Panics as [`BoundValue::seconds`] does.
    pub(crate) fn milliseconds(self) -> Duration {
        Duration::from_secs_f64(self.0 / 1000.0)
    }
}

impl<'de> Deserialize<'de> for BoundValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(BoundValueVisitor)
    }
}

struct BoundValueVisitor;

impl Visitor<'_> for BoundValueVisitor {
    type Value = BoundValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number, true or false")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<BoundValue, E> {
        Ok(BoundValue(f64::from(u8::from(value))))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<BoundValue, E> {
        Ok(BoundValue(value as f64))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<BoundValue, E> {
        Ok(BoundValue(value as f64))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<BoundValue, E> {
        Ok(BoundValue(value))
    }
}
