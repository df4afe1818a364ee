//! Local connection limits with additive increase and multiplicative decrease (AIMD): a refused connection halves a
//! forwarder's limit, each completed call raises it slightly.

use super::traffic::ConnectionStrategy;
use crate::{FORWARDERS, MAX_CONNECTIONS, TARGETS};

pub struct AimdLimits {
    /// By forwarder and target: the limit, the calls in flight, and the time from which new connections are tried again
    /// after a refusal.
    links: Vec<Vec<(f64, u32, f64)>>,
}

impl AimdLimits {
    pub fn new() -> Self {
        // The initial limit assumes that the number of forwarders is known.
        let limit = (f64::from(MAX_CONNECTIONS) / FORWARDERS as f64).max(1.0);
        AimdLimits {
            links: vec![vec![(limit, 0, 0.0); TARGETS]; FORWARDERS],
        }
    }
}

impl ConnectionStrategy for AimdLimits {
    fn acquire(&mut self, now: f64, forwarder: usize, target: usize, _: usize, idle: bool) -> bool {
        let (limit, in_flight, retry_at) = &mut self.links[forwarder][target];
        let is_admitted = f64::from(*in_flight) < limit.floor() && (idle || now >= *retry_at);
        *in_flight += u32::from(is_admitted);
        is_admitted
    }

    fn refused(&mut self, now: f64, forwarder: usize, target: usize, _: usize) {
        let (limit, in_flight, retry_at) = &mut self.links[forwarder][target];
        *in_flight -= 1;
        // Like the decision module, avoids a target for a while after it has refused a connection.
        (*limit, *retry_at) = ((*limit / 2.0).max(1.0), now + 2_000.0);
    }

    fn completed(&mut self, _: f64, forwarder: usize, target: usize, _: usize) -> bool {
        let (limit, in_flight, _) = &mut self.links[forwarder][target];
        *in_flight -= 1;
        *limit += 1.0 / limit.max(1.0);
        true
    }

    fn idle_closed(&mut self, _: f64, _: usize, _: usize) {}

    fn step(&mut self, _: f64) -> Vec<(usize, usize, u32)> {
        Vec::new()
    }
}
