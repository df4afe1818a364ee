//! Allocation of shared prefixes to the targets that cache them, by rendezvous hashing with bounded
//! loads (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018).
//!
//! Each prefix is allocated capacity of targets in its own rendezvous order until its share of the
//! requests is placed; each target has capacity for an equal part of all requests. Few targets
//! cache a prefix, all targets are used evenly, and proxies that see about the same mix of prompts
//! agree on nearly the complete allocation without exchanging messages. The dispatcher owns one
//! [`Allocator`] for each service.

use std::cmp::Reverse;
use std::collections::HashMap;

use plankhill_decisions::interface::Ms;

use crate::prefix_demand::{PrefixDemand, PrefixShare};
use crate::rendezvous::rendezvous_weight;

/// Maximum number of prefixes that are allocated targets by their share; less frequent prefixes use
/// only the first target in their rendezvous order.
const MAX_PREFIXES: usize = 64;
/// The allocation is recomputed after this time, because the mix of prompts changes.
const ALLOCATION_TTL: Ms = 500.0;
/// Free capacity of a target below this part of its total capacity is left unused.
const MIN_CAPACITY_PART: f64 = 0.02;

/// The part of a prefix's requests that is allocated to a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixQuota {
    /// The target's hash.
    pub target: u64,
    /// The allocated part as a share of all requests of the service, from 0 to 1.
    pub share: f64,
}

/// The targets that are allocated to each prefix.
#[derive(Clone, Debug, Default)]
pub struct Allocation {
    quotas: HashMap<u64, Vec<PrefixQuota>>,
}

impl Allocation {
    /// Allocates the targets to every prefix.
    pub fn new(mut demand: Vec<PrefixShare>, targets: &[u64]) -> Self {
        let equal_part = 1.0 / targets.len().max(1) as f64;
        let mut capacity: HashMap<u64, f64> =
            targets.iter().map(|target| (*target, equal_part)).collect();
        // Sorted by prefix, so that the order does not change with the shares.
        demand.sort_by_key(|share| share.prefix);
        let mut quotas = HashMap::new();
        for demanded in &demand {
            let allocated = allocate_capacity(demanded, targets, equal_part, &mut capacity);
            quotas.insert(demanded.prefix, allocated);
        }
        Allocation { quotas }
    }

    /// The targets that cache the prefix; empty for a rare prefix.
    pub fn targets_of(&self, prefix: u64) -> &[PrefixQuota] {
        self.quotas.get(&prefix).map_or(&[], Vec::as_slice)
    }
}

/// Allocates capacity to one prefix, in the prefix's rendezvous order of the targets.
fn allocate_capacity(
    demanded: &PrefixShare,
    targets: &[u64],
    equal_part: f64,
    capacity: &mut HashMap<u64, f64>,
) -> Vec<PrefixQuota> {
    let mut order: Vec<u64> = targets.to_vec();
    order.sort_by_key(|target| Reverse(rendezvous_weight(demanded.prefix, *target)));
    let mut remaining = demanded.share;
    let mut quotas = Vec::new();
    for target in order {
        if remaining <= 0.0 {
            break;
        }
        let free = capacity.entry(target).or_default();
        if *free < MIN_CAPACITY_PART * equal_part {
            continue;
        }
        let share = free.min(remaining);
        *free -= share;
        remaining -= share;
        quotas.push(PrefixQuota { target, share });
    }
    quotas
}

/// The mix of a service's prompts and the allocation that is computed from it.
#[derive(Debug, Default)]
pub struct Allocator {
    demand: PrefixDemand,
    allocation: Allocation,
    computed_at: Option<Ms>,
}

impl Allocator {
    /// Records a request with the shared prefix.
    pub fn record(&mut self, now: Ms, prefix: u64) {
        self.demand.record(now, prefix);
    }

    /// Invalidates the allocation after a change of the service's targets; it is recomputed at its
    /// next use.
    pub fn invalidate(&mut self) {
        self.computed_at = None;
    }

    /// The allocation, recomputed over `targets` if it has expired.
    pub fn current(&mut self, now: Ms, targets: impl FnOnce() -> Vec<u64>) -> &Allocation {
        if self.computed_at.is_none_or(|at| now - at >= ALLOCATION_TTL) {
            self.allocation = Allocation::new(self.demand.most_frequent(MAX_PREFIXES), &targets());
            self.computed_at = Some(now);
        }
        &self.allocation
    }
}
