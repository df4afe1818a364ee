//! A number of the settings file: a whole one, a fraction, or true or false.

use std::fmt;
use std::time::Duration;

use serde::de::{Deserialize, Deserializer, Error, Visitor};
use serde::Serialize;

/// The value of a bound, in the unit of its key; `true` is read as 1 and `false` as 0.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)] // `validator` puts the value into its errors.
pub(crate) struct BoundValue(f64);

impl BoundValue {
    pub(crate) const fn new(value: f64) -> Self {
        BoundValue(value)
    }

    pub(crate) fn value(self) -> f64 {
        self.0
    }

    /// The duration of this many seconds. Panics on a value that is negative or no number: checked
    /// settings hold none.
    pub(crate) fn seconds(self) -> Duration {
        Duration::from_secs_f64(self.0)
    }

    /// As [`BoundValue::seconds`], of this many milliseconds.
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
