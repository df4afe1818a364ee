//! Which of the targets that take a request now gets it: the one that costs least, in expected milliseconds.

use plankhill_decisions::interface::Ms;

use crate::affinity::{rank_costs, Chains, RankCost, TOKEN_COST};
use crate::allocation::Quota;
use crate::load::{ALL_SLOTS, ALL_SLOTS_READING};
use crate::targets::KnownTarget;

/// What a target in another zone costs: a round trip between zones and the price of the bytes.
const OTHER_ZONE_COST: Ms = 6.0;
/// A target may have this many times the requests of the least loaded one, and a few more, before a prompt
/// that it keeps goes elsewhere.
const BOUND_SHARE: f64 = 1.25;
const BOUND_FEW: f64 = 6.0;
/// What is read delays all that is under way at the target, so that it weighs more by this share for each.
/// Under a burst 0.25 and 1.2 left more programs late: sessions stuck to full targets, or moved too often.
const CROWDED_READING: f64 = 0.6;

/// The target that a prompt goes to.
pub(crate) struct Place {
    /// Its place among those that were open.
    pub(crate) at: usize,
    /// Whether it is one of those that keep the prompt's shared text.
    pub(crate) keeps_text: bool,
}

/// The target in `open` that costs least, within the bound on load; `keepers` keep the prompt's text.
pub(crate) fn cheapest(
    now: Ms,
    prompt: &Chains,
    open: &[&KnownTarget],
    keepers: &[Quota],
) -> Option<Place> {
    let there = estimates(now, open);
    let least = there.iter().copied().fold(f64::INFINITY, f64::min);
    let bound = BOUND_SHARE * least + BOUND_FEW;
    let ranks = ranks(prompt, open, keepers);
    let within = (0..open.len()).filter(|&at| there[at] <= bound);
    let costs: Vec<(usize, Ms)> = within
        .map(|at| (at, cost(now, prompt, open[at], there[at], ranks[at])))
        .collect();
    let least = costs.iter().min_by(|one, other| one.1.total_cmp(&other.1));
    least.map(|(at, _)| Place {
        at: *at,
        keeps_text: ranks[*at].keeps_text,
    })
}

/// How long the target takes to read what it does not keep of the prompt.
pub(crate) fn reading_time(target: &KnownTarget, prompt: &Chains, keeps_text: bool) -> Ms {
    TOKEN_COST * f64::from(target.kept.missing(prompt, keeps_text))
}

/// Requests that are probably under way at each target.
fn estimates(now: Ms, open: &[&KnownTarget]) -> Vec<f64> {
    let others = open
        .iter()
        .map(|target| target.load.others(now))
        .sum::<f64>();
    let common = others / open.len().max(1) as f64;
    open.iter()
        .map(|target| target.load.estimate(now, common))
        .collect()
}

fn ranks(prompt: &Chains, open: &[&KnownTarget], keepers: &[Quota]) -> Vec<RankCost> {
    if prompt.is_empty() {
        return vec![
            RankCost {
                cost: 0.0,
                keeps_text: false
            };
            open.len()
        ];
    }
    let hashes: Vec<u64> = open.iter().map(|target| target.hash).collect();
    rank_costs(prompt, &hashes, keepers)
}

fn cost(now: Ms, prompt: &Chains, target: &KnownTarget, there: f64, rank: RankCost) -> Ms {
    let zone = if target.in_own_zone {
        0.0
    } else {
        OTHER_ZONE_COST
    };
    let reading = reading_time(target, prompt, rank.keeps_text) * (1.0 + CROWDED_READING * there);
    let all_slots = if prompt.is_empty() {
        ALL_SLOTS
    } else {
        ALL_SLOTS_READING
    };
    // A session stays where it is, whatever its rank says since.
    let rank = if target.kept.has_session(prompt) {
        0.0
    } else {
        rank.cost
    };
    target.load.cost(now, there, all_slots) + zone + reading + rank
}
