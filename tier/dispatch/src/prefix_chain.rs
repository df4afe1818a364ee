//! The parts of one prompt as a chain of hashes.
//!
//! A cached part saves its prefill only if every part before it is cached as well. A part is
//! therefore identified by a hash over the ids up to and including its own.

use crate::rendezvous::mix;
use crate::request::PrefixPart;

/// Maximum number of parts of one prompt that are considered; later parts are shared by few
/// prompts.
const MAX_PARTS: usize = 64;

/// A part of a prompt and all parts before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChainLink {
    /// The hash over the ids of the part and of all before it.
    pub(crate) hash: u64,
    /// Tokens of the part alone.
    pub(crate) tokens: u32,
}

/// The chain of one prompt; empty if the prompt has no parts.
#[derive(Clone, Debug, Default)]
pub struct PrefixChain {
    links: Vec<ChainLink>,
}

impl PrefixChain {
    /// Creates the chain of these parts, in the given order.
    pub fn from_parts(parts: &[PrefixPart]) -> Self {
        let mut hash = 0;
        let mut links = Vec::with_capacity(parts.len().min(MAX_PARTS));
        for part in parts.iter().take(MAX_PARTS) {
            hash = mix(hash ^ mix(part.id));
            links.push(ChainLink {
                hash,
                tokens: part.tokens,
            });
        }
        PrefixChain { links }
    }

    /// Whether the prompt has no parts.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// The hash of the prefix that the prompt shares with others: the prompt's first part, unless
    /// that is the only part.
    pub fn shared_prefix(&self) -> Option<u64> {
        self.shared_link().map(|link| link.hash)
    }

    /// Tokens of the shared prefix; 0 if there is none.
    pub(crate) fn shared_prefix_tokens(&self) -> u32 {
        self.shared_link().map_or(0, |link| link.tokens)
    }

    /// The hash that identifies the session: that of the part after the shared prefix. The prompt
    /// of a sub-agent begins with its parent's prompt.
    pub(crate) fn session(&self) -> u64 {
        match self.links.as_slice() {
            [] => 0,
            [only] => only.hash,
            [_, session, ..] => session.hash,
        }
    }

    pub(crate) fn links(&self) -> &[ChainLink] {
        &self.links
    }

    fn shared_link(&self) -> Option<&ChainLink> {
        match self.links.as_slice() {
            [shared, _, ..] => Some(shared),
            [] | [_] => None,
        }
    }
}
