//! The share of a service's requests that each shared prefix accounts for, as observed by this
//! proxy.
//!
//! A proxy of a large fleet observes too little of the load at any one target to detect by itself
//! that all proxies send the same prompts to that target. But each proxy can observe the mix of the
//! prompts: a prefix that accounts for a fifth of the requests should be cached by a fifth of the
//! targets, whichever proxy sends them ([`crate::allocation`]).

use std::collections::HashMap;

use plankhill_decisions::interface::Ms;

/// Half-life of the counts: long enough for some tens of requests at a proxy of a large fleet.
const HALF_LIFE: Ms = 10_000.0;
/// Prefixes whose count has decayed below this value are removed.
const MIN_COUNT: f64 = 0.2;
/// Number of requests with other prefixes that are assumed before any request is counted, so that
/// the first request does not count as the complete demand.
const PRIOR_REQUESTS: f64 = 5.0;
/// Maximum number of prefixes counted for a service; beyond it, new prefixes are treated as rare.
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
    /// The share, from 0 to 1.
    pub share: f64,
}

impl PrefixDemand {
    /// Records a request with the prefix.
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
        // Ties are ordered by prefix, because the order of the map differs from process to process.
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
