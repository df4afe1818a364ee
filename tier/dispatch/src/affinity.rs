//! Which target holds which part of a prompt, as far as this proxy knows.
//!
//! A part saves its prefill only where every part before it is kept as well, so that what is remembered is
//! the chain: a hash over the ids up to and including the part. A rendezvous hash of the first part, the text that
//! most prompts share, ranks the targets, the same at all proxies; [`crate::allocation`] says which of them keep it. Among
//! these a rendezvous hash of the session's own part gives each session its place.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};

use plankhill_decisions::interface::Ms;
use plankhill_protocol::ids::InstanceId;

use crate::allocation::Quota;
use crate::interface::PrefixPart;

/// Chains remembered for each target; the oldest go first. Targets keep some tens of sessions.
const MOST_CHAINS: usize = 512;
/// Chains of one prompt that are looked at.
const MOST_PARTS: usize = 64;
/// Expected milliseconds that reading a token takes: about 40 are read in one.
pub const TOKEN_COST: Ms = 0.025;
/// What each rank further down the rendezvous order costs, behind those that keep the text.
const RANK_COST: Ms = 5.0;
/// What each rank further down the session's own order costs among those that keep its text: less than what a
/// call more on the target does.
const SESSION_RANK_COST: Ms = 2.0;
/// Ranks beyond this one are alike.
const LAST_RANK: usize = 8;

/// The chains of one prompt.
#[derive(Clone, Debug, Default)]
pub struct Chains {
    links: Vec<(u64, u32)>,
}

impl Chains {
    /// Of the parts in order.
    pub fn of(parts: &[PrefixPart]) -> Self {
        let mut chain = 0;
        let link = |part: &PrefixPart| {
            chain = mixed(chain ^ mixed(part.id));
            (chain, part.tokens)
        };
        Chains {
            links: parts.iter().take(MOST_PARTS).map(link).collect(),
        }
    }

    /// Whether the prompt names no parts.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// What names the text that the prompt shares with others: its first part, unless that is its only one.
    pub fn text(&self) -> Option<u64> {
        self.links.get(1).and(self.links.first()).map(|link| link.0)
    }

    /// What names the session: the part behind the shared text. Sub-agents' prompts begin with their parent's.
    fn session(&self) -> u64 {
        self.links
            .get(1)
            .or(self.links.first())
            .map_or(0, |link| link.0)
    }

    /// Tokens of the shared text.
    fn text_tokens(&self) -> u32 {
        self.text().and(self.links.first()).map_or(0, |link| link.1)
    }
}

/// What one target is taken to keep.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    chains: HashMap<u64, Entry>,
    order: VecDeque<(u64, u64)>,
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    last_use: u64,
}

impl Kept {
    /// The target reads the prompt, or has read it.
    pub fn note(&mut self, chains: &Chains) {
        for &(chain, tokens) in &chains.links {
            self.uses += 1;
            self.chains.insert(
                chain,
                Entry {
                    tokens,
                    last_use: self.uses,
                },
            );
            self.order.push_back((chain, self.uses));
        }
        self.trim();
    }

    /// Tokens of the prompt that the target has to read; `keeps_text`: other proxies had it read the shared text.
    pub fn missing(&self, chains: &Chains, keeps_text: bool) -> u32 {
        let mut missing = 0u32;
        let mut unbroken = true;
        let by_others = if keeps_text { chains.text_tokens() } else { 0 };
        for (place, (chain, tokens)) in chains.links.iter().enumerate() {
            let noted = self
                .chains
                .get(chain)
                .filter(|_| unbroken)
                .map_or(0, |entry| entry.tokens);
            let kept = if place == 0 {
                noted.max(by_others)
            } else {
                noted
            };
            unbroken = kept > 0;
            missing = missing.saturating_add(tokens.saturating_sub(kept));
        }
        missing
    }

    /// Whether the target keeps what names the prompt's session.
    pub fn has_session(&self, chains: &Chains) -> bool {
        self.chains.contains_key(&chains.session())
    }

    fn trim(&mut self) {
        while self.chains.len() > MOST_CHAINS || self.order.len() > 2 * MOST_CHAINS {
            let Some((chain, use_number)) = self.order.pop_front() else {
                return;
            };
            let is_last_use = self
                .chains
                .get(&chain)
                .is_some_and(|entry| entry.last_use == use_number);
            if is_last_use {
                self.chains.remove(&chain);
            }
        }
    }
}

/// A hash of a target's id, to be computed once.
pub fn target_hash(id: &InstanceId) -> u64 {
    id.as_str()
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            mixed(hash ^ u64::from(byte))
        })
}

/// What each target costs by its place in the rendezvous orders, in expected milliseconds: those that keep the
/// prompt's text by the session's order among them, the others by the text's. Where nothing is allocated the first
/// in the text's order keeps it.
pub fn rank_costs(chains: &Chains, target_hashes: &[u64], keepers: &[Quota]) -> Vec<RankCost> {
    let by_text = ranks(chains.text().unwrap_or(chains.session()), target_hashes);
    let share_of = |target: u64| {
        keepers
            .iter()
            .find(|quota| quota.target == target)
            .map(|quota| quota.share)
    };
    let mut quotas: Vec<Option<f64>> = target_hashes
        .iter()
        .map(|target| share_of(*target))
        .collect();
    if quotas.iter().all(Option::is_none) {
        quotas = by_text
            .iter()
            .map(|rank| (*rank == 0).then_some(1.0))
            .collect();
    }
    let by_session = session_ranks(chains.session(), target_hashes, &quotas);
    let outside = SESSION_RANK_COST * LAST_RANK as f64;
    let costs = by_text
        .iter()
        .zip(by_session)
        .map(|(text, session)| match session {
            Some(rank) => RankCost {
                cost: SESSION_RANK_COST * rank.min(LAST_RANK) as f64,
                keeps_text: true,
            },
            None => RankCost {
                cost: outside + RANK_COST * (text + 1).min(LAST_RANK) as f64,
                keeps_text: false,
            },
        });
    costs.collect()
}

/// The places of those that have a quota in the session's order, which takes each as often as its quota is large.
fn session_ranks(
    session: u64,
    target_hashes: &[u64],
    quotas: &[Option<f64>],
) -> Vec<Option<usize>> {
    let score = |place: usize, quota: f64| {
        let chance =
            (rendezvous_weight(session, target_hashes[place]) >> 11) as f64 / (1u64 << 53) as f64;
        -(1.0 - chance).ln() / quota
    };
    let mut order: Vec<(usize, f64)> = quotas
        .iter()
        .enumerate()
        .filter_map(|(place, quota)| quota.map(|quota| (place, score(place, quota))))
        .collect();
    order.sort_by(|one, other| one.1.total_cmp(&other.1));
    let mut ranks = vec![None; quotas.len()];
    order
        .iter()
        .enumerate()
        .for_each(|(rank, (place, _))| ranks[*place] = Some(rank));
    ranks
}

/// What a target's place in the rendezvous orders means for one prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankCost {
    /// In expected milliseconds.
    pub cost: Ms,
    /// Whether the target is one of those that keep the prompt's shared text.
    pub keeps_text: bool,
}

/// The weight of a target in the rendezvous order of what the hash names; the largest is first.
pub fn rendezvous_weight(hash: u64, target_hash: u64) -> u64 {
    mixed(hash ^ target_hash)
}

/// The place of each target in the rendezvous order of what the hash names.
fn ranks(hash: u64, target_hashes: &[u64]) -> Vec<usize> {
    let weights: Vec<u64> = target_hashes
        .iter()
        .map(|target| rendezvous_weight(hash, *target))
        .collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|place| Reverse(weights[*place]));
    let mut ranks = vec![0; weights.len()];
    order
        .iter()
        .enumerate()
        .for_each(|(rank, place)| ranks[*place] = rank);
    ranks
}

/// The finisher of splitmix64.
fn mixed(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
