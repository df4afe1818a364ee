//! Which targets keep which shared text: rendezvous hashing with bounded loads.
//!
//! Each text takes targets in its own rendezvous order until its share of the requests has found room; a target has
//! room for its equal part of all requests. So few targets keep a text, all are used alike, and proxies that see
//! about the same mix agree on nearly all of it without a word between them.

use std::collections::HashMap;

use plankhill_decisions::interface::Ms;

use crate::affinity::rendezvous_weight;
use crate::demand::{Demand, TextShare};

/// Texts that are given targets by their share; rarer ones keep to the first target of their order.
const MOST_TEXTS: usize = 64;
/// The allocation is worked out anew after this time, as the mix changes.
const LIFE: Ms = 500.0;
/// Room of less than this part of a target's is left unused.
const LEAST_PART: f64 = 0.02;

/// The part of a text's requests that a target is to take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// The target's hash.
    pub target: u64,
    /// As a share of all requests of the service.
    pub share: f64,
}

/// The targets of each text.
#[derive(Clone, Debug, Default)]
pub struct Allocation {
    texts: HashMap<u64, Vec<Quota>>,
}

impl Allocation {
    /// Gives every text its targets.
    pub fn of(mut shares: Vec<TextShare>, targets: &[u64]) -> Self {
        let each = 1.0 / targets.len().max(1) as f64;
        let mut room: HashMap<u64, f64> = targets.iter().map(|target| (*target, each)).collect();
        // In an order that does not change with the shares.
        shares.sort_by_key(|share| share.text);
        let texts = shares
            .iter()
            .map(|share| (share.text, take(share, targets, each, &mut room)));
        Allocation {
            texts: texts.collect(),
        }
    }

    /// The targets that keep the text; empty for a rare one.
    pub fn keepers(&self, text: u64) -> &[Quota] {
        self.texts.get(&text).map_or(&[], Vec::as_slice)
    }
}

/// Takes room for one text in its rendezvous order.
fn take(
    wanted: &TextShare,
    targets: &[u64],
    each: f64,
    room: &mut HashMap<u64, f64>,
) -> Vec<Quota> {
    let mut order: Vec<u64> = targets.to_vec();
    order.sort_by_key(|target| std::cmp::Reverse(rendezvous_weight(wanted.text, *target)));
    let mut left = wanted.share;
    let mut quotas = Vec::new();
    for target in order {
        if left <= 0.0 {
            break;
        }
        let free = room.entry(target).or_default();
        if *free < LEAST_PART * each {
            continue;
        }
        let share = free.min(left);
        *free -= share;
        left -= share;
        quotas.push(Quota { target, share });
    }
    quotas
}

/// The mix of a service's prompts and the allocation that follows from it.
#[derive(Debug, Default)]
pub struct Allocator {
    demand: Demand,
    allocation: Allocation,
    made_at: Option<Ms>,
}

impl Allocator {
    /// A request that asks for the text came in.
    pub fn note(&mut self, now: Ms, text: u64) {
        self.demand.note(now, text);
    }

    /// The service's targets changed.
    pub fn targets_changed(&mut self) {
        self.made_at = None;
    }

    /// The allocation, worked out anew over these targets if it has grown old.
    pub fn current(&mut self, now: Ms, targets: impl FnOnce() -> Vec<u64>) -> &Allocation {
        if self.made_at.is_none_or(|at| now - at >= LIFE) {
            self.allocation = Allocation::of(self.demand.most_asked(MOST_TEXTS), &targets());
            self.made_at = Some(now);
        }
        &self.allocation
    }
}
