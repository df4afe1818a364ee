//! The cost of each target for a prompt by the target's rank in the rendezvous orders.
//!
//! A rendezvous hash of the shared prefix ranks the targets identically at all proxies;
//! [`crate::allocation`] determines which of them cache the prefix. Among these, a rendezvous hash
//! of the session's own part selects the target of each session.

use plankhill_decisions::interface::Ms;

use crate::allocation::PrefixQuota;
use crate::prefix_chain::PrefixChain;
use crate::rendezvous::{rendezvous_ranks, unit_weight};

/// The cost per rank in the prefix's order, for targets that do not cache the prefix.
const RANK_COST: Ms = 5.0;
/// The cost per rank in the session's own order, for targets that cache the session's prefix: less
/// than the cost of one more request at the target.
const SESSION_RANK_COST: Ms = 2.0;
/// Ranks beyond this one cost the same as this one.
const MAX_RANK: usize = 8;

/// The cost of a target for one prompt by the target's rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankCost {
    /// The cost in expected milliseconds of response time.
    pub cost: Ms,
    /// Whether the target is one of those that cache the prompt's shared prefix.
    pub has_shared_prefix: bool,
}

/// The rank cost of each target, in the order of `target_hashes`.
///
/// Targets with a quota in `quotas` are ranked by the session's order, the others by the prefix's.
/// If no target has a quota, the first target in the prefix's order is assumed to cache the prefix.
pub fn rank_costs(
    prompt: &PrefixChain,
    target_hashes: &[u64],
    quotas: &[PrefixQuota],
) -> Vec<RankCost> {
    let prefix_key = prompt.shared_prefix().unwrap_or(prompt.session());
    let prefix_ranks = rendezvous_ranks(prefix_key, target_hashes);
    let mut shares: Vec<Option<f64>> = target_hashes
        .iter()
        .map(|target| quota_share(*target, quotas))
        .collect();
    if shares.iter().all(Option::is_none) {
        shares = prefix_ranks
            .iter()
            .map(|rank| (*rank == 0).then_some(1.0))
            .collect();
    }
    let session_ranks = session_ranks(prompt.session(), target_hashes, &shares);
    prefix_ranks
        .iter()
        .zip(session_ranks)
        .map(|(prefix_rank, session_rank)| rank_cost(*prefix_rank, session_rank))
        .collect()
}

fn rank_cost(prefix_rank: usize, session_rank: Option<usize>) -> RankCost {
    match session_rank {
        Some(rank) => RankCost {
            cost: SESSION_RANK_COST * rank.min(MAX_RANK) as f64,
            has_shared_prefix: true,
        },
        None => {
            // Higher than the cost of any target that caches the prefix.
            let base = SESSION_RANK_COST * MAX_RANK as f64;
            let cost = base + RANK_COST * (prefix_rank + 1).min(MAX_RANK) as f64;
            RankCost {
                cost,
                has_shared_prefix: false,
            }
        }
    }
}

fn quota_share(target: u64, quotas: &[PrefixQuota]) -> Option<f64> {
    quotas
        .iter()
        .find(|quota| quota.target == target)
        .map(|quota| quota.share)
}

/// A target with a share, and its score in the session's weighted order; the lowest score ranks
/// first.
struct ScoredTarget {
    index: usize,
    score: f64,
}

/// The ranks of the targets that have a share, in the session's weighted rendezvous order: over
/// many sessions, each target ranks first in proportion to its share.
fn session_ranks(
    session: u64,
    target_hashes: &[u64],
    shares: &[Option<f64>],
) -> Vec<Option<usize>> {
    let mut order = Vec::new();
    for (index, share) in shares.iter().enumerate() {
        if let Some(share) = share {
            let weight = unit_weight(session, target_hashes[index]);
            order.push(ScoredTarget {
                index,
                score: -(1.0 - weight).ln() / share,
            });
        }
    }
    order.sort_by(|one, other| one.score.total_cmp(&other.score));
    let mut ranks = vec![None; shares.len()];
    for (rank, target) in order.iter().enumerate() {
        ranks[target.index] = Some(rank);
    }
    ranks
}
