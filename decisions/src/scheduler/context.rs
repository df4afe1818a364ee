//! What the decisions about one destination read besides it: the configuration, the time, the
//! random source and what all destinations together have shown.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

use super::tuning::RESPONSE_TIME_WINDOW;
use crate::interface::{DecisionConfig, Ms};
use crate::state::{DecayingSum, EventNumber, KindStatistics, ResponseTimes};

/// Owned by the scheduler and handed to each destination's decisions. The order of the fields is
/// the form of a hot restart.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Context {
    #[serde(skip)]
    pub(super) config: DecisionConfig,
    pub(super) started_at: Ms,
    pub(super) now: Ms,
    /// Random numbers drawn so far.
    draws: u64,
    /// Of all destinations.
    pub(super) response_times: ResponseTimes,
    /// Calls over connections that had been idle.
    pub(super) reused_calls: DecayingSum,
    /// Those of them that were lost.
    pub(super) lost_reused_calls: DecayingSum,
    /// Until then idle connections are closed everywhere.
    pub(super) closes_idle_until: Ms,
    /// By destination kind.
    pub(super) kind_statistics: Vec<KindStatistics>,
    /// By member: events accepted inside its quota.
    pub(super) member_usage: Vec<DecayingSum>,
}

/// What a random number is for. Each purpose has its own id in the random source.
pub(super) enum Draw {
    HealthCheckInterval,
    CallAssessment,
    HealthCheckTarget,
    FirstCallAfterHealthCheck,
    FirstCandidate,
    SecondCandidate,
    FirstCallAfterRestart,
    RetryBackoff(EventNumber),
}

impl Draw {
    fn id(&self) -> u64 {
        match self {
            Draw::HealthCheckInterval => 0,
            Draw::CallAssessment => 1,
            Draw::HealthCheckTarget => 2,
            Draw::FirstCallAfterHealthCheck => 3,
            Draw::FirstCandidate => 4,
            Draw::SecondCandidate => 5,
            Draw::FirstCallAfterRestart => 6,
            Draw::RetryBackoff(event) => *event,
        }
    }
}

impl Context {
    pub(super) fn new(now: Ms) -> Self {
        Context {
            started_at: now,
            now,
            ..Context::default()
        }
    }

    pub(super) fn set_config(&mut self, config: DecisionConfig) {
        self.kind_statistics
            .resize_with(config.destination_kinds.len(), KindStatistics::default);
        self.member_usage
            .resize_with(config.member_quotas.len(), DecayingSum::default);
        self.config = config;
    }

    /// A random number from 0 to 1. The same inputs draw the same numbers: the hash of the seed,
    /// the instance, the purpose and the count of draws.
    pub(super) fn draw(&mut self, draw: Draw) -> f64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        (
            self.config.seed,
            self.config.instance,
            draw.id(),
            self.draws,
        )
            .hash(&mut hasher);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The time that a response takes at all destinations. A second, until anything has been
    /// answered.
    pub(super) fn common_response_time(&self) -> Ms {
        let total_time = self
            .response_times
            .total_time(self.now, RESPONSE_TIME_WINDOW);
        let count = self.response_times.count(self.now, RESPONSE_TIME_WINDOW);
        (total_time + 1000.0) / (count + 1.0)
    }
}

/// A factor of a quarter either way, so that attempts that failed together do not come again
/// together. `random` is from 0 to 1.
pub(super) fn jitter(random: f64) -> f64 {
    0.75 + 0.5 * random
}
