//! How much of a service's requests each shared text makes up, as this proxy sees it.
//!
//! A proxy of a large fleet sees too little of the load at any one target to find out by itself that all proxies
//! put the same prompts there. What each of them does see is the mix of the prompts: a text that makes up a fifth of
//! the requests belongs on a fifth of the targets, whoever asks ([`crate::allocation`]).

use std::collections::HashMap;

use plankhill_decisions::interface::Ms;

/// Counts lose half of their weight in this time: long enough for some tens of requests at a proxy of a large fleet.
const HALF_LIFE: Ms = 10_000.0;
/// Texts whose count has faded below this are forgotten.
const FORGOTTEN: f64 = 0.2;
/// Requests that are taken to have asked for other texts before any was seen: the first one does not count as all
/// there is.
const UNSEEN: f64 = 5.0;
/// Texts counted for a service; beyond it new ones count as rare.
const MOST_TEXTS: usize = 1_024;

/// The requests of one service by their shared text.
#[derive(Debug, Default)]
pub struct Demand {
    texts: HashMap<u64, f64>,
    all: f64,
    halved_at: Ms,
}

/// A text and the share of the requests that asks for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TextShare {
    /// The text's chain hash.
    pub text: u64,
    /// From 0 to 1.
    pub share: f64,
}

impl Demand {
    /// A request that asks for the text came in.
    pub fn note(&mut self, now: Ms, text: u64) {
        self.fade(now);
        self.all += 1.0;
        if self.texts.len() < MOST_TEXTS || self.texts.contains_key(&text) {
            *self.texts.entry(text).or_default() += 1.0;
        }
    }

    /// The texts asked for most, at most so many; their shares add up to less than 1.
    pub fn most_asked(&self, most: usize) -> Vec<TextShare> {
        let share = |(text, count): (&u64, &f64)| TextShare {
            text: *text,
            share: count / (self.all + UNSEEN),
        };
        let mut shares: Vec<TextShare> = self.texts.iter().map(share).collect();
        shares.sort_by(|one, other| {
            other
                .share
                .total_cmp(&one.share)
                .then(one.text.cmp(&other.text))
        });
        shares.truncate(most);
        shares
    }

    fn fade(&mut self, now: Ms) {
        let halvings = ((now - self.halved_at) / HALF_LIFE).floor();
        if halvings < 1.0 {
            return;
        }
        self.halved_at += halvings * HALF_LIFE;
        let factor = (-halvings).exp2();
        self.texts.values_mut().for_each(|count| *count *= factor);
        self.texts.retain(|_, count| *count >= FORGOTTEN);
        self.all *= factor;
    }
}
