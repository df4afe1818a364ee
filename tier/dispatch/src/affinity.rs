//! Which target holds which part of a prompt, as far as this proxy knows.
//!
//! A part saves its prefill only where every part before it is kept as well, so that what is remembered is
//! the chain: a hash over the ids up to and including the part. Where nothing is known, a rendezvous hash
//! of the shared parts ranks the targets, the same at all proxies, so that these fill the same few caches.

use std::collections::{HashMap, VecDeque};

use plankhill::interface::Ms;
use plankhill_protocol::ids::InstanceId;

use crate::interface::PrefixPart;

/// Chains remembered for each target; the oldest go first. Targets keep some tens of sessions.
const MOST_CHAINS: usize = 512;
/// Chains of one prompt that are looked at.
const MOST_PARTS: usize = 64;
/// Expected milliseconds that reading a token takes: about 40 are read in one.
pub const TOKEN_COST: Ms = 0.025;
/// What each rank further down the rendezvous order costs: a little more than a call more on the target.
const RANK_COST: Ms = 5.0;
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
        Chains { links: parts.iter().take(MOST_PARTS).map(link).collect() }
    }

    /// Whether the prompt names no parts.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// What names the prompt's shared text: all but its last part, which is its own or its session's.
    fn shared(&self) -> u64 {
        let at = self.links.len().saturating_sub(2);
        self.links.get(at).map_or(0, |link| link.0)
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
            self.chains.insert(chain, Entry { tokens, last_use: self.uses });
            self.order.push_back((chain, self.uses));
        }
        self.trim();
    }

    /// Tokens of the prompt that the target has to read.
    pub fn missing(&self, chains: &Chains) -> u32 {
        let mut missing = 0u32;
        let mut unbroken = true;
        for (chain, tokens) in &chains.links {
            let kept = self.chains.get(chain).filter(|_| unbroken).map_or(0, |entry| entry.tokens);
            unbroken = kept > 0;
            missing = missing.saturating_add(tokens.saturating_sub(kept));
        }
        missing
    }

    fn trim(&mut self) {
        while self.chains.len() > MOST_CHAINS || self.order.len() > 2 * MOST_CHAINS {
            let Some((chain, use_number)) = self.order.pop_front() else { return };
            let is_last_use = self.chains.get(&chain).is_some_and(|entry| entry.last_use == use_number);
            if is_last_use {
                self.chains.remove(&chain);
            }
        }
    }
}

/// A hash of a target's id, to be computed once.
pub fn target_hash(id: &InstanceId) -> u64 {
    id.as_str().bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| mixed(hash ^ u64::from(byte)))
}

/// What each target costs by its rank in the rendezvous order of the prompt, in expected milliseconds.
pub fn rank_costs(chains: &Chains, target_hashes: &[u64]) -> Vec<Ms> {
    let shared = chains.shared();
    let weights: Vec<u64> = target_hashes.iter().map(|target| mixed(shared ^ target)).collect();
    let rank = |weight: &u64| weights.iter().filter(|other| *other > weight).count();
    weights.iter().map(|weight| RANK_COST * rank(weight).min(LAST_RANK) as f64).collect()
}

/// The finisher of splitmix64.
fn mixed(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
