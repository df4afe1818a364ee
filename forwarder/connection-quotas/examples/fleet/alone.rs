//! Each forwarder guesses: a refused connection halves its guess, each call that is served raises it a little.

use super::traffic::Way;
use crate::{FORWARDERS, TAKES, TARGETS};

pub struct Alone {
    /// Guess, what is out, and from when a new connection is tried again after a refusal.
    doors: Vec<Vec<(f64, u32, f64)>>,
}

impl Alone {
    pub fn new() -> Self {
        // It is told how many forwarders there are.
        let guess = (f64::from(TAKES) / FORWARDERS as f64).max(1.0);
        Alone {
            doors: vec![vec![(guess, 0, 0.0); TARGETS]; FORWARDERS],
        }
    }
}

impl Way for Alone {
    fn may(&mut self, now: f64, forwarder: usize, target: usize, _: usize, kept: bool) -> bool {
        let (guess, out, tried_from) = &mut self.doors[forwarder][target];
        let may = f64::from(*out) < guess.floor() && (kept || now >= *tried_from);
        *out += u32::from(may);
        may
    }

    fn refused(&mut self, now: f64, forwarder: usize, target: usize, _: usize) {
        let (guess, out, tried_from) = &mut self.doors[forwarder][target];
        *out -= 1;
        // As the module shuns a target that refused a connection.
        (*guess, *tried_from) = ((*guess / 2.0).max(1.0), now + 2_000.0);
    }

    fn ended(&mut self, _: f64, forwarder: usize, target: usize, _: usize) -> bool {
        let (guess, out, _) = &mut self.doors[forwarder][target];
        *out -= 1;
        *guess += 1.0 / guess.max(1.0);
        true
    }

    fn idle_closed(&mut self, _: f64, _: usize, _: usize) {}

    fn step(&mut self, _: f64) -> Vec<(usize, usize, u32)> {
        Vec::new()
    }
}
