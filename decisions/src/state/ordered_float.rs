//! A floating-point number that can be a key of an ordered set.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

/// A floating-point number with the total order of IEEE 754, by which times on the host's clock are
/// sorted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct OrderedFloat(pub(crate) f64);

impl OrderedFloat {
    /// As a time, it means never.
    pub(crate) const INFINITY: OrderedFloat = OrderedFloat(f64::INFINITY);
}

impl Default for OrderedFloat {
    fn default() -> Self {
        OrderedFloat::INFINITY
    }
}

impl Eq for OrderedFloat {}

impl Ord for OrderedFloat {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for OrderedFloat {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
