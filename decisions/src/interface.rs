//! Types that a host and the scheduler share: ids, the configuration, the report of an attempt, and
//! the effects that a host carries out. This module has neither decisions nor tuned values.
//!
//! Ids, [`EndpointState`], [`AttemptOutcome`] and [`AttemptReport`] are also passed between two
//! processes in a hot restart: structs as arrays of their fields, enum variants by name.
//! `serde(rename)` keeps the serialized name of a variant that has a different name in the code.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Milliseconds with fractions. Points in time are on the clock of the host.
pub type Ms = f64;

/// An event's id, unique among the events that a host has not completed.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventId(pub Rc<str>);

/// A target's id in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetId(pub Rc<str>);

/// Id of a destination, which is a set of targets that serve the same events.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DestinationId(pub u64);

/// Order key of an event. Events with the same order key are attempted one at a time, in the order
/// of acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderKey(pub u64);

/// Position in [`DecisionConfig::traffic_types`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficTypeId(pub usize);

/// Position in [`DecisionConfig::destination_kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DestinationKindId(pub usize);

/// Position in the host's list of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneId(pub usize);

impl ZoneId {
    /// An unknown zone, which differs from every listed zone.
    pub const UNKNOWN: ZoneId = ZoneId(usize::MAX);
}

/// The effect of a repeat of an event at its destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// A repeat does no harm.
    Idempotent,
    /// A repeat is detected by a fingerprint for a limited time.
    Deduplicated {
        /// Milliseconds, from the first attempt that may have run, in which a repeat is detected.
        window: Ms,
        /// A repeat is detected only in the zone of the first attempt.
        per_zone: bool,
    },
    /// A repeat may take effect a second time.
    NonIdempotent,
}

impl Idempotency {
    /// Returns whether an event that may have run may be retried only in the zone of its first
    /// attempt.
    pub fn retries_in_zone(self) -> bool {
        matches!(self, Idempotency::Deduplicated { per_zone: true, .. })
    }
}

/// A type of traffic: the value of its events and the rules for their attempts.
#[derive(Clone, Debug)]
pub struct TrafficType {
    /// The effect of a repeat.
    pub idempotency: Idempotency,
    /// Milliseconds after submission up to which a delivery has its full value (latency target).
    pub soft_limit: Ms,
    /// Milliseconds from submission to the deadline.
    pub time_to_deadline: Ms,
    /// The value of a delivery within the soft limit.
    pub value: f64,
    /// The share of the value, from 0 to 1, that a delivery at the deadline has.
    pub value_at_end: f64,
    /// Order keys are respected; otherwise, they are ignored.
    pub ordered: bool,
}

/// Common properties of the destinations of one kind.
#[derive(Clone, Debug)]
pub struct DestinationKind {
    /// Each target has its own limit, health and retry-after. Otherwise, a destination's targets
    /// share them.
    pub independent_routes: bool,
    /// Maximum number of events in one call.
    pub max_events_per_call: usize,
}

/// The backoff before an event's first retry, by the outcome of its attempt. It doubles with each
/// attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    /// Milliseconds after a failure.
    pub after_failure: Ms,
    /// Milliseconds after a rejection by the target.
    pub after_rejection: Ms,
    /// Milliseconds after an attempt of which nothing was sent.
    pub after_unsent: Ms,
}

/// Parameters that differ between deployments. The default is that of the event forwarder.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// The backoff before a retry.
    pub retry_backoff: RetryBackoff,
    /// Calls are paced after rejections and while a lane is warming up. Disabled where targets
    /// queue and reject calls themselves and a rejection costs nothing; then only a retry-after
    /// delays calls to a lane.
    pub paces_calls: bool,
    /// Only a health check takes an offline lane back online, not the answer to a call that was in
    /// flight.
    pub release_on_health_check_only: bool,
}

/// Configuration of a scheduler, set once at its start.
#[derive(Clone, Debug, Default)]
pub struct DecisionConfig {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The instance's number in its fleet, by which instances draw different random numbers.
    pub instance: u64,
    /// The number of forwarders in the fleet, this one included.
    pub forwarder_count: f64,
    /// The types of traffic, indexed by [`TrafficTypeId`].
    pub traffic_types: Vec<TrafficType>,
    /// The kinds of destinations, indexed by [`DestinationKindId`].
    pub destination_kinds: Vec<DestinationKind>,
    /// Maximum number of calls in flight.
    pub max_calls_in_flight: usize,
    /// Maximum number of events that the host can store.
    pub event_capacity: usize,
    /// Maximum number of attempts of one event.
    pub max_attempts: u32,
    /// Health checks may be sent. Otherwise, an offline lane is tested by a trial call with queued
    /// events.
    pub health_checks_allowed: bool,
    /// The retry-after in milliseconds that rejected clients receive; `None` sends no retry-after.
    pub max_retry_after: Option<Ms>,
    /// Events per second that each member may request from all forwarders together. Empty if there
    /// are no members.
    pub member_quotas: Vec<f64>,
    /// The value of an event beyond its member's quota, as a share of the usual value.
    pub over_quota_value_weight: f64,
    /// The share of its capacity, from 0 to 1, that a destination has when it begins to warm up.
    pub warm_up_initial_share: f64,
    /// Duration of a warm-up in milliseconds, after which a destination has its full capacity
    /// again.
    pub warm_up_duration: Ms,
    /// A destination that is warming up is overloaded at this multiple of its current capacity.
    pub overload_multiple: f64,
    /// Milliseconds for which an order key cools down after an attempt that may still be executing.
    pub key_cooldown: Ms,
    /// Parameters that differ between deployments.
    pub tuning: Tuning,
}

/// State of a target in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// The target accepts calls.
    Running,
    /// The target finishes its current calls and accepts no new ones.
    #[serde(rename = "Leaving")]
    Draining,
    /// The target is no longer in the list.
    #[serde(rename = "Gone")]
    Removed,
}

/// Outcome of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// Answered with success.
    Delivered,
    /// Answered with an error.
    Error,
    /// Answered with a rejection: the target is over its limit or closed. The attempt was certainly
    /// not executed.
    #[serde(rename = "Full")]
    Rejected,
    /// No answer within the timeout.
    TimedOut,
    /// No connection was established. The attempt was certainly not executed.
    #[serde(rename = "NoConnection")]
    ConnectFailed,
    /// The connection was reset during the attempt.
    Reset,
    /// The host cancelled the attempt.
    Cancelled,
    /// Nothing of the attempt left the host. The attempt was certainly not executed.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether an undelivered attempt with this outcome may have taken effect.
    pub fn may_have_run(self) -> bool {
        match self {
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled => true,
            AttemptOutcome::Delivered
            | AttemptOutcome::Rejected
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::NotSent => false,
        }
    }
}

/// Outcome of an attempt, and the contents of its answer.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AttemptReport {
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Milliseconds from sending the attempt to its end.
    pub elapsed: Ms,
    /// The event is complete, by this answer or by an earlier one.
    pub event_complete: bool,
    /// Milliseconds to wait as requested by the answer; 0 if it requested none.
    pub retry_after: Ms,
    /// The remaining share of its limit that the target reports, from 0 to 1. Any other number
    /// counts as not reported.
    pub limit_remaining: Option<f64>,
}

impl AttemptReport {
    /// Creates a report with only an outcome; the elapsed time is 0.
    pub fn from_outcome(outcome: AttemptOutcome) -> Self {
        AttemptReport {
            outcome,
            elapsed: 0.0,
            event_complete: outcome == AttemptOutcome::Delivered,
            retry_after: 0.0,
            limit_remaining: None,
        }
    }
}

/// Error for an input that refers to an unknown event, attempt or target; the text names the kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownId(pub &'static str);

/// The result of an input that refers to an event or target.
pub type InputResult = Result<(), UnknownId>;

/// Carries out the decisions of one iteration, in the order in which they are made.
pub trait Effects {
    /// Selects one of the targets that accept the event now, by its position. `None` leaves the
    /// choice to the scheduler.
    fn select_target(
        &mut self,
        _event: &EventId,
        _targets: &mut dyn Iterator<Item = &TargetId>,
    ) -> Option<usize> {
        None
    }

    /// Sends an attempt of the event, with a timeout of `timeout` milliseconds. Consecutive
    /// attempts to one target form one call, up to the kind's maximum number of events in a call.
    ///
    /// The last byte of the attempt has to be sent by the time `leaves_by`; otherwise, no byte may
    /// be sent, and the attempt ends as not sent. `leaves_by` is infinite if there is no such
    /// limit.
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, timeout: Ms, leaves_by: Ms);

    /// Completes an event that the client may safely repeat, after `retry_after` milliseconds if
    /// given. Returns true if the completion is sent as a notification, whose acknowledgement is
    /// passed to
    /// [`on_completion_acknowledged`](crate::scheduler::Scheduler::on_completion_acknowledged).
    fn reject(&mut self, event: &EventId, retry_after: Option<Ms>) -> bool;

    /// Completes an event that may have run. Returns the same as [`reject`](Effects::reject).
    fn abandon(&mut self, event: &EventId) -> bool;

    /// Sends a health check, whose end is passed to
    /// [`on_health_check_ended`](crate::scheduler::Scheduler::on_health_check_ended).
    fn health_check(&mut self, target: &TargetId);

    /// Closes the connections to the target that no call uses.
    fn close_idle_connections(&mut self, target: &TargetId);

    /// Cancels the calls to the target of which nothing has been written yet; they end as not sent.
    fn cancel_unsent(&mut self, target: &TargetId);

    /// Records that the target's lane has been warming up since the time `since`, and that its
    /// usual rate is `usual_rate` calls per second, for
    /// [`restore_warm_up`](crate::scheduler::Scheduler::restore_warm_up) after a restart.
    fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual_rate: f64);

    /// Requests an iteration after at most `delay` milliseconds.
    fn wake_after(&mut self, delay: Ms);
}
