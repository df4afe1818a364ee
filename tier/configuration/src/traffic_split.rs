//! Shares of a route's requests among its services.

use std::hash::Hasher;
use std::sync::Arc;

use siphasher::sip::SipHasher13;

use crate::{Route, RouteServices, WeightedService};

/// Bits of a hash that a 64-bit fraction holds exactly.
const FRACTION_BITS: u32 = 53;

impl RouteServices {
    /// Names of the services, in the order of the document.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        let (one, weighted) = match self {
            RouteServices::One(service) => (Some(service), &[][..]),
            RouteServices::Weighted(weighted) => (None, &weighted[..]),
        };
        one.into_iter()
            .chain(weighted.iter().map(|share| &share.service))
    }

    /// The service for the request called `request_id`: the same one on every machine.
    pub fn pick(&self, request_id: &str) -> &Arc<str> {
        match self {
            RouteServices::One(service) => service,
            RouteServices::Weighted(weighted) => pick_weighted(weighted, fraction_of(request_id)),
        }
    }
}

impl Route {
    /// The service for the request called `request_id`: the same one on every machine.
    pub fn pick_service(&self, request_id: &str) -> &Arc<str> {
        self.services.pick(request_id)
    }
}

/// Walks the shares until `fraction` (from 0 up to 1) of their sum is passed.
///
/// A checked route has at least one share above 0.
fn pick_weighted(weighted: &[WeightedService], fraction: f64) -> &Arc<str> {
    let sum: f64 = weighted.iter().map(|share| share.weight).sum();
    let mut left = fraction * sum;
    let mut last = &weighted[0].service;
    for share in weighted.iter().filter(|share| share.weight > 0.0) {
        last = &share.service;
        if left < share.weight {
            break;
        }
        left -= share.weight;
    }
    last
}

fn fraction_of(request_id: &str) -> f64 {
    let mut hasher = SipHasher13::new();
    hasher.write(request_id.as_bytes());
    let high_bits = hasher.finish() >> (u64::BITS - FRACTION_BITS);
    high_bits as f64 / (1_u64 << FRACTION_BITS) as f64
}
