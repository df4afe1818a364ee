//! The presumed content of one target's prefix cache: the chains that this proxy sent to the
//! target. Owned by the target's entry in the table of targets.

use std::collections::{HashMap, VecDeque};

use plankhill_decisions::interface::Ms;

use crate::prefix_chain::PrefixChain;

/// The time that a target takes to prefill one token: about 40 tokens per millisecond.
pub const PREFILL_TIME_PER_TOKEN: Ms = 0.025;

/// Maximum number of chain links recorded for each target; the least recently used links are
/// evicted first. Targets cache a few tens of sessions.
const MAX_LINKS: usize = 512;

/// The links that one target is assumed to cache.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    links: HashMap<u64, CachedLink>,
    /// Every use, oldest first. An entry whose number is not the link's last use is stale.
    uses: VecDeque<LinkUse>,
    use_count: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedLink {
    tokens: u32,
    last_use: u64,
}

#[derive(Clone, Copy, Debug)]
struct LinkUse {
    hash: u64,
    number: u64,
}

impl PrefixCache {
    /// Records that the target prefills the prompt, or has prefilled it.
    pub fn record(&mut self, prompt: &PrefixChain) {
        for link in prompt.links() {
            self.use_count += 1;
            let cached = CachedLink {
                tokens: link.tokens,
                last_use: self.use_count,
            };
            self.links.insert(link.hash, cached);
            self.uses.push_back(LinkUse {
                hash: link.hash,
                number: self.use_count,
            });
        }
        self.evict_oldest();
    }

    /// Tokens of the prompt that the target has to prefill. With `has_shared_prefix`, the shared
    /// prefix is assumed to be cached because of requests of other proxies.
    pub fn missing_tokens(&self, prompt: &PrefixChain, has_shared_prefix: bool) -> u32 {
        let cached_by_others = if has_shared_prefix {
            prompt.shared_prefix_tokens()
        } else {
            0
        };
        let mut missing = 0u32;
        let mut is_contiguous = true;
        for (index, link) in prompt.links().iter().enumerate() {
            let recorded = if is_contiguous {
                self.cached_tokens(link.hash)
            } else {
                0
            };
            let cached = if index == 0 {
                recorded.max(cached_by_others)
            } else {
                recorded
            };
            is_contiguous = cached > 0;
            missing = missing.saturating_add(link.tokens.saturating_sub(cached));
        }
        missing
    }

    /// Whether the target caches the part that identifies the prompt's session.
    pub fn has_session(&self, prompt: &PrefixChain) -> bool {
        self.links.contains_key(&prompt.session())
    }

    fn cached_tokens(&self, hash: u64) -> u32 {
        self.links.get(&hash).map_or(0, |link| link.tokens)
    }

    fn evict_oldest(&mut self) {
        while self.links.len() > MAX_LINKS || self.uses.len() > 2 * MAX_LINKS {
            let Some(oldest) = self.uses.pop_front() else {
                return;
            };
            let is_last_use = self
                .links
                .get(&oldest.hash)
                .is_some_and(|link| link.last_use == oldest.number);
            if is_last_use {
                self.links.remove(&oldest.hash);
            }
        }
    }
}
