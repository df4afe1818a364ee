//! Shared inputs of the decisions about one destination: the configuration, the time, the random
//! source and the statistics over all destinations.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};

use super::tuning::RESPONSE_TIME_WINDOW;
use crate::interface::{DecisionConfig, Ms};
use crate::state::{DecayingSum, EventNumber, KindStatistics, ResponseTimes};

/// Owned by the scheduler and passed to the decisions about each destination. The order of the
/// fields is part of the hot restart format.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Context {
    #[serde(skip)]
    pub(super) config: DecisionConfig,
    pub(super) started_at: Ms,
    pub(super) now: Ms,
    /// Number of random numbers drawn so far.
    draws: u64,
    /// Response times of all destinations.
    pub(super) response_times: ResponseTimes,
    /// Calls over connections that had been idle.
    pub(super) reused_calls: DecayingSum,
    /// Calls over connections that had been idle, and that were lost.
    pub(super) lost_reused_calls: DecayingSum,
    /// The time until which idle connections to all destinations are closed.
    pub(super) closes_idle_until: Ms,
    /// Statistics by destination kind.
    pub(super) kind_statistics: Vec<KindStatistics>,
    /// Events accepted within its quota, by member.
    pub(super) member_usage: Vec<DecayingSum>,
}

/// The purpose of a random number. Each purpose has its own id in the random source.
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

    /// Returns a random number from 0 to 1: the hash of the seed, the instance, the purpose and the
    /// number of draws, so that the same inputs draw the same numbers.
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

    /// Returns the mean response time over all destinations; one second before the first response.
    pub(super) fn mean_response_time(&self) -> Ms {
        let total_time = self
            .response_times
            .total_time(self.now, RESPONSE_TIME_WINDOW);
        let count = self.response_times.count(self.now, RESPONSE_TIME_WINDOW);
        (total_time + 1000.0) / (count + 1.0)
    }
}

/// Returns a factor from 0.75 to 1.25, so that attempts that failed together are not retried
/// together. `random` is from 0 to 1.
pub(super) fn jitter(random: f64) -> f64 {
    0.75 + 0.5 * random
}
