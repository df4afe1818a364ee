//! Selects the target of a request among the open targets: the one with the lowest cost, in
//! expected milliseconds of response time. Called for each send by [`crate::command_writer`].

use plankhill_decisions::interface::Ms;

use crate::affinity::{rank_costs, RankCost};
use crate::allocation::PrefixQuota;
use crate::prefix_chain::PrefixChain;
use crate::target_load::{FULL_SLOTS_COST, FULL_SLOTS_COST_WITH_PREFILL};
use crate::targets::KnownTarget;

/// The cost of a target in another zone: a round trip between zones and the price of the
/// transferred bytes.
const OTHER_ZONE_COST: Ms = 6.0;
/// A target may have up to `LOAD_BOUND_FACTOR` times the requests of the least loaded target plus
/// `LOAD_BOUND_EXTRA`; beyond this bound, prompts that it caches are sent to other targets.
const LOAD_BOUND_FACTOR: f64 = 1.25;
const LOAD_BOUND_EXTRA: f64 = 6.0;
/// Prefill delays all requests in flight at the target, so that its weight grows by this share for
/// each of them. Under a burst, more programs were late with 0.25 and with 1.2: sessions stayed at
/// full targets, or moved too often.
const PREFILL_WEIGHT_PER_REQUEST: f64 = 0.6;

/// The target that was selected for a request.
pub(crate) struct Selection {
    /// The target's position among the open targets.
    pub(crate) index: usize,
    /// Whether the target is one of those that cache the prompt's shared prefix.
    pub(crate) has_shared_prefix: bool,
}

/// Selects the target in `open` with the lowest cost, within the bound on load; the first one on a
/// tie. `quotas` lists the targets that cache the prompt's shared prefix. `None` if no target is
/// open.
pub(crate) fn select_cheapest(
    now: Ms,
    prompt: &PrefixChain,
    open: &[&KnownTarget],
    quotas: &[PrefixQuota],
) -> Option<Selection> {
    let estimates = estimate_requests(now, open);
    let least_loaded = estimates.iter().copied().fold(f64::INFINITY, f64::min);
    let bound = LOAD_BOUND_FACTOR * least_loaded + LOAD_BOUND_EXTRA;
    let ranks = ranks_of(prompt, open, quotas);
    let mut cheapest: Option<(usize, Ms)> = None;
    for index in (0..open.len()).filter(|index| estimates[*index] <= bound) {
        let cost = cost(now, prompt, open[index], estimates[index], ranks[index]);
        if cheapest.is_none_or(|(_, least)| cost.total_cmp(&least).is_lt()) {
            cheapest = Some((index, cost));
        }
    }
    let (index, _) = cheapest?;
    Some(Selection {
        index,
        has_shared_prefix: ranks[index].has_shared_prefix,
    })
}

/// The estimated number of requests in flight at each target.
fn estimate_requests(now: Ms, open: &[&KnownTarget]) -> Vec<f64> {
    let others = open
        .iter()
        .map(|target| target.load.others(now))
        .sum::<f64>();
    let typical_others = others / open.len().max(1) as f64;
    open.iter()
        .map(|target| target.load.estimate(now, typical_others))
        .collect()
}

fn ranks_of(prompt: &PrefixChain, open: &[&KnownTarget], quotas: &[PrefixQuota]) -> Vec<RankCost> {
    if prompt.is_empty() {
        return vec![
            RankCost {
                cost: 0.0,
                has_shared_prefix: false
            };
            open.len()
        ];
    }
    let hashes: Vec<u64> = open.iter().map(|target| target.hash).collect();
    rank_costs(prompt, &hashes, quotas)
}

fn cost(now: Ms, prompt: &PrefixChain, target: &KnownTarget, requests: f64, rank: RankCost) -> Ms {
    let zone_cost = if target.in_own_zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    let prefill = target.prefill_time(prompt, rank.has_shared_prefix)
        * (1.0 + PREFILL_WEIGHT_PER_REQUEST * requests);
    let full_slots_cost = if prompt.is_empty() {
        FULL_SLOTS_COST
    } else {
        FULL_SLOTS_COST_WITH_PREFILL
    };
    // A session stays at the target that caches it, even if the target's rank has changed since.
    let rank_cost = if target.prefix_cache.has_session(prompt) {
        0.0
    } else {
        rank.cost
    };
    target.load.cost(now, requests, full_slots_cost) + zone_cost + prefill + rank_cost
}
