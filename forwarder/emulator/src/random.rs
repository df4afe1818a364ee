//! Random numbers: one portable stream for each purpose, so that a change in the use of one stream
//! does not affect the others.

use plankhill_forwarder_config::scenario::{Answer, Ms, Shape};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};

/// The purpose of a stream of random numbers.
#[derive(Clone, Copy)]
pub enum RandomStream {
    /// Times and choice of the events that clients submit.
    Arrivals = 1,
    /// Service times of targets.
    Answers = 2,
    /// Latency and loss of messages.
    Network = 3,
    /// The layer before the forwarders.
    Front = 4,
    /// The destinations and forwarders that a fault affects.
    Affected = 5,
    /// The effect of a fault on a call.
    Faults = 6,
    /// Times at which forwarders receive updates of the endpoint list.
    Lists = 7,
    /// Times at which clients submit an event again.
    Returns = 8,
    /// Differences between targets.
    Targets = 9,
    /// The decisions of baselines.
    Baselines = 10,
}

/// The stream of a seed for one purpose.
pub fn stream(seed: u64, purpose: RandomStream) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose as u64);
    rng
}

/// Uniformly distributed from 0 to 1.
pub fn uniform(rng: &mut ChaCha8Rng) -> f64 {
    // Computed from the top 53 bits as an integer, so that the result is the same on every machine.
    (rng.random::<u64>() >> 11) as f64 / (1u64 << 53) as f64
}

/// Uniformly distributed from `low` to `high`.
pub fn between(rng: &mut ChaCha8Rng, low: f64, high: f64) -> f64 {
    low + (high - low) * uniform(rng)
}

/// Exponentially distributed with this mean.
pub fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let unit: f64 = Exp1.sample(rng);
    unit * mean
}

/// The answer times of one group of destinations, ready to draw from.
pub struct AnswerTimes {
    shape: Shape,
    mean: Ms,
    body: LogNormal<f64>,
    tail: Pareto<f64>,
    tail_share: f64,
}

impl AnswerTimes {
    /// The mean over all answers is the configured one: the mean of the body is reduced by what the
    /// tail adds.
    pub fn new(of: &Answer) -> Self {
        let tailed = of.shape == Shape::Tailed;
        let tail_share = if tailed { of.tail } else { 0.0 };
        // The tail starts at twice the configured mean; its mean is alpha / (alpha - 1) times that.
        let start = 2.0 * of.mean;
        let tail_mean = start * of.alpha / (of.alpha - 1.0);
        let body_mean =
            ((of.mean - tail_share * tail_mean) / (1.0 - tail_share).max(1e-9)).max(0.1 * of.mean);
        let mu = libm::log(body_mean) - 0.5 * of.spread * of.spread;
        AnswerTimes {
            shape: of.shape,
            mean: of.mean,
            body: LogNormal::new(mu, of.spread).expect("the spread was checked"),
            tail: Pareto::new(start, of.alpha).expect("the exponent was checked"),
            tail_share,
        }
    }

    /// The milliseconds that one answer takes.
    pub fn sample(&self, rng: &mut ChaCha8Rng) -> Ms {
        match self.shape {
            Shape::Fixed => self.mean,
            Shape::Exponential => exponential(rng, self.mean),
            Shape::LogNormal => self.body.sample(rng),
            Shape::Tailed if uniform(rng) < self.tail_share => self.tail.sample(rng),
            Shape::Tailed => self.body.sample(rng),
        }
    }
}
