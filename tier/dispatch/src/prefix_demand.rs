//! The share of a service's requests that each shared prefix makes up, as this proxy sees it.
//!
//! A proxy of a large fleet sees too little of the load at any one target to find out by itself
//! that all proxies put the same prompts there. Each proxy does see the mix of the prompts: a
//! prefix that makes up a fifth of the requests belongs on a fifth of the targets, whichever proxy
//! sends them ([`crate::allocation`]).

use std::collections::HashMap;

use plankhill_decisions::interface::Ms;

/// Counts lose half of their weight in this time: long enough for some tens of requests at a proxy
/// of a large fleet.
const HALF_LIFE: Ms = 10_000.0;
/// Prefixes whose count has decayed below this are forgotten.
const MIN_COUNT: f64 = 0.2;
/// Requests that are taken to have had other prefixes before any was seen: the first request does
/// not count as all there is.
const PRIOR_REQUESTS: f64 = 5.0;
/// Prefixes counted for a service; beyond it new ones count as rare.
const MAX_PREFIXES: usize = 1_024;

/// The requests of one service by their shared prefix.
#[derive(Debug, Default)]
pub struct PrefixDemand {
    counts: HashMap<u64, f64>,
    total: f64,
    decayed_at: Ms,
}

/// A prefix and the share of the requests that have it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixShare {
    /// The prefix's chain hash.
    pub prefix: u64,
    /// From 0 to 1.
    pub share: f64,
}

impl PrefixDemand {
    /// A request with the prefix came.
    pub fn record(&mut self, now: Ms, prefix: u64) {
        self.decay(now);
        self.total += 1.0;
        if self.counts.len() < MAX_PREFIXES || self.counts.contains_key(&prefix) {
            *self.counts.entry(prefix).or_default() += 1.0;
        }
    }

    /// The most frequent prefixes, at most `max` of them; their shares add up to less than 1.
    pub fn most_frequent(&self, max: usize) -> Vec<PrefixShare> {
        let mut shares: Vec<PrefixShare> = self
            .counts
            .iter()
            .map(|(prefix, count)| PrefixShare {
                prefix: *prefix,
                share: count / (self.total + PRIOR_REQUESTS),
            })
            .collect();
        // Ties go by the prefix: the order of the map differs from process to process.
        shares.sort_by(|one, other| {
            other
                .share
                .total_cmp(&one.share)
                .then(one.prefix.cmp(&other.prefix))
        });
        shares.truncate(max);
        shares
    }

    fn decay(&mut self, now: Ms) {
        let halvings = ((now - self.decayed_at) / HALF_LIFE).floor();
        if halvings < 1.0 {
            return;
        }
        self.decayed_at += halvings * HALF_LIFE;
        let factor = (-halvings).exp2();
        for count in self.counts.values_mut() {
            *count *= factor;
        }
        self.counts.retain(|_, count| *count >= MIN_COUNT);
        self.total *= factor;
    }
}
