//! Numbers of the settings file: whole ones, fractions, and true or false.

use std::fmt;
use std::time::Duration;

use serde::de::{Deserialize, Deserializer, Error, Visitor};
use serde::Serialize;

/// A figure of the rules; `true` is read as 1 and `false` as 0.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize)]
pub(crate) struct Figure(f64);

impl Figure {
    pub(crate) const fn new(value: f64) -> Self {
        Figure(value)
    }

    pub(crate) fn value(self) -> f64 {
        self.0
    }

    pub(crate) fn seconds(self) -> Duration {
        Duration::from_secs_f64(self.0)
    }

    pub(crate) fn milliseconds(self) -> Duration {
        Duration::from_secs_f64(self.0 / 1000.0)
    }
}

impl<'de> Deserialize<'de> for Figure {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        source.deserialize_any(FigureVisitor)
    }
}

struct FigureVisitor;

impl Visitor<'_> for FigureVisitor {
    type Value = Figure;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number, true or false")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Figure, E> {
        Ok(Figure(f64::from(u8::from(value))))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Figure, E> {
        Ok(Figure(value as f64))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Figure, E> {
        Ok(Figure(value as f64))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Figure, E> {
        Ok(Figure(value))
    }
}
