//! Targets, and the lanes that they share.

use serde::{Deserialize, Serialize};

use super::decaying_sum::{DecayingSum, ResponseTimes};
use crate::interface::{EndpointState, Ms, TargetId, ZoneId};

/// A listed target, and what this forwarder has seen of it.
#[derive(Serialize, Deserialize)]
pub(crate) struct Target {
    pub(crate) id: TargetId,
    pub(crate) zone: ZoneId,
    pub(crate) state: EndpointState,
    pub(crate) consecutive_failures: i32,
    /// Until then another target is preferred (outlier ejection).
    pub(crate) ejected_until: Ms,
    /// Calls of this forwarder.
    pub(crate) calls_in_flight: usize,
    /// Since when no call uses the connections to the target, which may still be open.
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

/// A rate limit that rejections have shown.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Pace {
    pub(crate) calls_per_second: f64,
    pub(crate) set_at: Ms,
}

/// The targets that share one limit, one health and one retry-after: those of a destination, or of
/// one of its routes where the routes are independent.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct TargetLane {
    pub(crate) targets: Vec<Target>,
    pub(crate) consecutive_failures: i32,
    /// No call is sent until a health check, or a trial call, is answered.
    pub(crate) is_offline: bool,
    /// The earliest time of the next health check of an offline lane.
    pub(crate) health_check_at: Ms,
    pub(crate) health_check_in_flight: bool,
    /// The end of a retry-after that the destination asked for.
    pub(crate) retry_after_ends: Ms,
    /// The end of a backoff that this forwarder chose.
    pub(crate) backoff_ends: Ms,
    /// Rejected calls in a row, without those that were sent before the last rejection.
    pub(crate) consecutive_rejections: i32,
    pub(crate) rejected_at: Ms,
    /// Rejections in a row that no used-up limit explains.
    pub(crate) unexplained_rejections: i32,
    pub(crate) answered_at: Ms,
    pub(crate) delivered_at: Ms,
    /// When a connection was refused, if nothing was answered since.
    pub(crate) connect_failed_at: Option<Ms>,
    pub(crate) warming_up_since: Option<Ms>,
    /// The start of the warm-up that the host was last asked to record.
    pub(crate) recorded_warm_up: Ms,
    /// Multiplies the warm-up budget: one, and more with responses in the usual time.
    pub(crate) warm_up_multiplier: f64,
    pub(crate) pace: Option<Pace>,
    /// When the rate limit admits the next call.
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
