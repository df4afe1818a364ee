//! Targets, and the lanes that they share.

use serde::{Deserialize, Serialize};

use super::decaying_sum::{DecayingSum, ResponseTimes};
use crate::interface::{EndpointState, Ms, TargetId, ZoneId};

/// A listed target, and its state as observed by this forwarder.
#[derive(Serialize, Deserialize)]
pub(crate) struct Target {
    pub(crate) id: TargetId,
    pub(crate) zone: ZoneId,
    pub(crate) state: EndpointState,
    pub(crate) consecutive_failures: i32,
    /// The time until which other targets are preferred (outlier ejection).
    pub(crate) ejected_until: Ms,
    /// Calls in flight from this forwarder.
    pub(crate) calls_in_flight: usize,
    /// The time since which no call has used the connections to the target, which may still be
    /// open.
    pub(crate) idle_since: Option<Ms>,
}

impl Target {
    pub(crate) fn new(id: TargetId, zone: ZoneId, state: EndpointState) -> Self {
        Target {
            id,
            zone,
            state,
            consecutive_failures: 0,
            ejected_until: 0.0,
            calls_in_flight: 0,
            idle_since: None,
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        self.state == EndpointState::Running
    }
}

/// A rate limit that was set after a rejection.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Pace {
    pub(crate) calls_per_second: f64,
    pub(crate) set_at: Ms,
}

/// Targets that share one rate limit, one health state and one retry-after: those of a destination,
/// or of one of its routes if the routes are independent.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct TargetLane {
    pub(crate) targets: Vec<Target>,
    pub(crate) consecutive_failures: i32,
    /// No call except for a trial call is sent until a health check or a trial call is answered.
    pub(crate) is_offline: bool,
    /// The earliest time of the next health check of an offline lane.
    pub(crate) health_check_at: Ms,
    pub(crate) health_check_in_flight: bool,
    /// The end of a retry-after that the destination requested.
    pub(crate) retry_after_ends: Ms,
    /// The end of a backoff that this forwarder chose.
    pub(crate) backoff_ends: Ms,
    /// Consecutive rejected calls, not counting those that were sent before the last rejection.
    pub(crate) consecutive_rejections: i32,
    pub(crate) rejected_at: Ms,
    /// Consecutive rejections without a used-up limit as their cause.
    pub(crate) unexplained_rejections: i32,
    pub(crate) answered_at: Ms,
    pub(crate) delivered_at: Ms,
    /// The time of a refused connection, if neither an answer nor another failure has followed it.
    pub(crate) connect_failed_at: Option<Ms>,
    pub(crate) warming_up_since: Option<Ms>,
    /// The start of the warm-up that the host was last asked to record.
    pub(crate) recorded_warm_up: Ms,
    /// Multiplier of the warm-up budget: one, and more after timely responses.
    pub(crate) warm_up_multiplier: f64,
    pub(crate) pace: Option<Pace>,
    /// The time at which the rate limit admits the next call.
    pub(crate) next_call_at: Ms,
    pub(crate) recent_calls: DecayingSum,
    pub(crate) burst_calls: DecayingSum,
    pub(crate) response_times: ResponseTimes,
}

impl TargetLane {
    pub(crate) fn target(&self, id: &TargetId) -> Option<&Target> {
        self.targets.iter().find(|target| target.id == *id)
    }

    pub(crate) fn target_mut(&mut self, id: &TargetId) -> Option<&mut Target> {
        self.targets.iter_mut().find(|target| target.id == *id)
    }

    pub(crate) fn running_targets(&self) -> impl Iterator<Item = &Target> {
        self.targets.iter().filter(|target| target.is_running())
    }

    pub(crate) fn is_running(&self) -> bool {
        self.running_targets().next().is_some()
    }

    pub(crate) fn has_calls_in_flight(&self) -> bool {
        self.targets.iter().any(|target| target.calls_in_flight > 0)
    }
}
