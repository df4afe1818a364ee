//! Distributes the requests of a route among its services.

use std::hash::Hasher;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::{Route, RouteServices, WeightedService};

/// Number of hash bits that an `f64` represents exactly.
const FRACTION_BITS: u32 = 53;

impl RouteServices {
    /// Iterates over the names of the services, in the order of the document.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        let (one, weighted) = match self {
            RouteServices::One(service) => (Some(service), &[][..]),
            RouteServices::Weighted(weighted) => (None, &weighted[..]),
        };
        one.into_iter()
            .chain(weighted.iter().map(|share| &share.service))
    }

    /// Returns the service for the request with this id, which is the same on every machine.
    pub fn pick(&self, request_id: &str) -> &Arc<str> {
        match self {
            RouteServices::One(service) => service,
            RouteServices::Weighted(weighted) => pick_weighted(weighted, fraction_of(request_id)),
        }
    }
}

impl Route {
    /// Returns the service for the request with this id, which is the same on every machine.
    pub fn pick_service(&self, request_id: &str) -> &Arc<str> {
        self.services.pick(request_id)
    }
}

/// Returns the service at `fraction` (at least 0, less than 1) of the cumulative weights.
///
/// A validated route has at least one weight above 0.
fn pick_weighted(weighted: &[WeightedService], fraction: f64) -> &Arc<str> {
    let sum: f64 = weighted.iter().map(|share| share.weight).sum();
    let mut remaining = fraction * sum;
    let mut last = &weighted[0].service;
    for share in weighted.iter().filter(|share| share.weight > 0.0) {
        last = &share.service;
        if remaining < share.weight {
            break;
        }
        remaining -= share.weight;
    }
    last
}

fn fraction_of(request_id: &str) -> f64 {
    let mut hasher = SipHasher13::new();
    hasher.write(request_id.as_bytes());
    let high_bits = hasher.finish() >> (u64::BITS - FRACTION_BITS);
    high_bits as f64 / (1_u64 << FRACTION_BITS) as f64
}
