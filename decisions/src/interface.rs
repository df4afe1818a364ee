//! The names that a host and the decision module share: ids, the configuration, the report of an
//! attempt, and the effects that a host carries out. Nothing is decided here and no value is tuned.
//!
//! Ids, [`EndpointState`], [`AttemptOutcome`] and [`AttemptReport`] also travel between two
//! processes in a hot restart: structs as arrays of their fields, enum variants by name. Where the
//! name of a variant is not its serialized one, `serde(rename)` keeps that.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Milliseconds with fractions. Points in time are on the clock of the host.
pub type Ms = f64;

/// An event's id, unique among the events that a host has not completed.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventId(pub Rc<str>);

/// A target's id, as the endpoint list names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetId(pub Rc<str>);

/// A destination: a set of targets that serve the same events.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DestinationId(pub u64);

/// Events with the same order key are attempted one at a time, in the order of acceptance.
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
    /// An unknown zone: no listed zone is the same.
    pub const UNKNOWN: ZoneId = ZoneId(usize::MAX);
}

/// What a repeat of an event does at its destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// A repeat does no harm.
    Idempotent,
    /// A repeat is recognized by a fingerprint for a while.
    Deduplicated {
        /// Milliseconds from the first attempt that may have run, in which a repeat is recognized.
        window: Ms,
        /// A repeat is recognized only in the zone of the first attempt.
        per_zone: bool,
    },
    /// A repeat may have its effect a second time.
    NonIdempotent,
}

impl Idempotency {
    /// Whether an event that may have run may be retried only in the zone of its first attempt.
    pub fn retries_in_zone(self) -> bool {
        matches!(self, Idempotency::Deduplicated { per_zone: true, .. })
    }
}

/// A type of traffic: what its events are worth and how they may be attempted.
#[derive(Clone, Debug)]
pub struct TrafficType {
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// Milliseconds after submission up to which a delivery has its full value (latency target).
    pub soft_limit: Ms,
    /// Milliseconds after submission to the deadline.
    pub patience: Ms,
    /// The value of a delivery within the soft limit.
    pub value: f64,
    /// The share of the value, from 0 to 1, that a delivery at the deadline has.
    pub value_at_end: f64,
    /// Whether order keys are heeded.
    pub ordered: bool,
}

/// What the destinations of one kind have in common.
#[derive(Clone, Debug)]
pub struct DestinationKind {
    /// Each target has its own limit, health and retry-after. Otherwise a destination's targets
    /// share them.
    pub independent_routes: bool,
    /// The upper bound of events in one call.
    pub max_events_per_call: usize,
}

/// The backoff before an event's first retry, by the outcome of its attempt. It doubles with the
/// attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    /// Milliseconds after a failure.
    pub after_failure: Ms,
    /// Milliseconds after a rejection by the target.
    pub after_rejection: Ms,
    /// Milliseconds after an attempt of which nothing left.
    pub after_unsent: Ms,
}

/// Where deployments of the module differ. The default is that of the event forwarder.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// The backoff before a retry.
    pub retry_backoff: RetryBackoff,
    /// Calls are paced after rejections and while a lane is warming up. Off where targets queue and
    /// reject for themselves and a rejection costs nothing: only a retry-after holds a lane back
    /// then.
    pub paces_calls: bool,
    /// An offline lane is released by a health check alone, not by the answer to a call that was in
    /// flight.
    pub release_on_health_check_only: bool,
}

/// What a scheduler is configured with, once, at its start.
#[derive(Clone, Debug, Default)]
pub struct DecisionConfig {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The instance's number in its fleet: instances draw different random numbers.
    pub instance: u64,
    /// The number of forwarders in the fleet, this one included.
    pub forwarder_count: f64,
    /// The types of traffic; [`TrafficTypeId`] is a position here.
    pub traffic_types: Vec<TrafficType>,
    /// The kinds of destinations; [`DestinationKindId`] is a position here.
    pub destination_kinds: Vec<DestinationKind>,
    /// The upper bound of calls in flight.
    pub max_calls_in_flight: usize,
    /// The events that the host can store.
    pub event_capacity: usize,
    /// The upper bound of attempts of one event.
    pub max_attempts: u32,
    /// Whether health checks may be sent. Otherwise an offline lane is tried with an event's call.
    pub health_checks_allowed: bool,
    /// The retry-after in milliseconds that rejected clients are given; none is given without it.
    pub max_retry_after: Option<Ms>,
    /// Events a second that each member may ask of all forwarders together. Empty where there are
    /// no members.
    pub member_quotas: Vec<f64>,
    /// The value of an event beyond its member's quota, as a share of the usual value.
    pub over_quota_value_weight: f64,
    /// The share of its capacity, from 0 to 1, that a destination has when it begins to warm up.
    pub warm_up_initial_share: f64,
    /// Milliseconds until a destination has its full capacity again.
    pub warm_up_duration: Ms,
    /// A destination that is warming up falls over at this multiple of the capacity that it has.
    pub overload_multiple: f64,
    /// Milliseconds for which an order key cools down after an attempt that may still be executing.
    pub key_cooldown: Ms,
    /// Where deployments differ.
    pub tuning: Tuning,
}

/// What the endpoint list says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// The target takes calls.
    Running,
    /// The target finishes the calls that it has and takes no new ones.
    #[serde(rename = "Leaving")]
    Draining,
    /// The target is not in the list any more.
    #[serde(rename = "Gone")]
    Removed,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// Answered with success.
    Delivered,
    /// Answered with an error.
    Error,
    /// Answered with a rejection: the target is over its limit or closed. Surely not executed.
    #[serde(rename = "Full")]
    Rejected,
    /// No answer within the time given.
    TimedOut,
    /// No connection came up. Surely not executed.
    #[serde(rename = "NoConnection")]
    ConnectFailed,
    /// The connection was reset during the attempt.
    Reset,
    /// The host cancelled the attempt.
    Cancelled,
    /// Nothing of the attempt left the host. Surely not executed.
    NotSent,
}

impl AttemptOutcome {
    /// Whether an attempt that ended so, undelivered, may have had its effect.
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

/// How an attempt ended, and what its answer said.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Milliseconds from sending to the end.
    pub elapsed: Ms,
    /// The event is complete, by this answer or by an earlier one.
    pub event_complete: bool,
    /// Milliseconds to wait as the answer asked; 0 if it asked for none.
    pub retry_after: Ms,
    /// The share of its limit that the target reports as left, from 0 to 1. Any other number
    /// reports nothing.
    pub limit_remaining: Option<f64>,
}

impl AttemptReport {
    /// A report of the outcome alone, with no time known.
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

/// The host named an event, attempt or target that the scheduler does not know; the text says
/// which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownId(pub &'static str);

/// The result of an input that names something.
pub type InputResult = Result<(), UnknownId>;

/// Carries out the decisions of one iteration, in the order in which they are made.
pub trait Effects {
    /// The position, among the targets that take the event now, of the one that is to have it. None
    /// leaves the choice to the scheduler.
    fn select_target(
        &mut self,
        _event: &EventId,
        _targets: &mut dyn Iterator<Item = &TargetId>,
    ) -> Option<usize> {
        None
    }

    /// Sends an attempt of the event, which is given `timeout` milliseconds for its answer.
    /// Attempts in a row to one target are one call, up to the kind's bound of events in a call.
    ///
    /// The attempt's last byte has to have left by the time `leaves_by`, or none of it may leave:
    /// it ends as not sent then. Infinite where nothing bounds it.
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, timeout: Ms, leaves_by: Ms);

    /// Completes an event whose repeat by the client does no harm; the client may come back after
    /// so many milliseconds. True if the completion goes as a notification, whose acknowledgement
    /// follows by
    /// [`on_completion_acknowledged`](crate::scheduler::Scheduler::on_completion_acknowledged).
    fn reject(&mut self, event: &EventId, retry_after: Option<Ms>) -> bool;

    /// Completes an event that may have run. True as for [`reject`](Effects::reject).
    fn abandon(&mut self, event: &EventId) -> bool;

    /// Sends a health check, whose end follows by
    /// [`on_health_check_ended`](crate::scheduler::Scheduler::on_health_check_ended).
    fn health_check(&mut self, target: &TargetId);

    /// Closes the connections to the target that no call uses.
    fn close_idle_connections(&mut self, target: &TargetId);

    /// Cancels the calls to the target of which nothing is written yet: they end as not sent.
    fn cancel_unsent(&mut self, target: &TargetId);

    /// Records that the target's lane is warming up since the time `since`, and that `usual_rate`
    /// calls a second usually go there, for
    /// [`restore_warm_up`](crate::scheduler::Scheduler::restore_warm_up) after a restart.
    fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual_rate: f64);

    /// Asks for an iteration after so many milliseconds at the latest.
    fn wake_after(&mut self, delay: Ms);
}
