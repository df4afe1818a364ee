//! The names that a host and the decision module share: ids, what is known at the start, how a send
//! can end, and the writer that takes the decisions. Nothing is decided here.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Milliseconds with fractions, on the clock of the host.
pub type Ms = f64;

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventId(pub Rc<str>);

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetId(pub Rc<str>);

#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DestinationId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderKey(pub u64);

/// Position in [`DecisionConfig::traffic`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficTypeId(pub usize);

/// Position in [`DecisionConfig::kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DestinationKindId(pub usize);

/// Position in the host's list of zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneId(pub usize);

impl ZoneId {
    /// Where nobody knows: no listed zone is the same.
    pub const UNKNOWN: ZoneId = ZoneId(usize::MAX);
}

/// What a repeat of an event does at its destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    Deduplicated { window: Ms, per_zone: bool },
    NonIdempotent,
}

impl Idempotency {
    /// Once it may have run, it may only go where its first send went.
    pub fn retries_in_zone(self) -> bool {
        matches!(self, Idempotency::Deduplicated { per_zone: true, .. })
    }
}

#[derive(Clone, Debug)]
pub struct TrafficType {
    pub idempotency: Idempotency,
    pub soft_limit: Ms,
    pub patience: Ms,
    pub value: f64,
    pub value_at_end: f64,
    pub ordered: bool,
}

#[derive(Clone, Debug)]
pub struct DestinationKind {
    pub independent_routes: bool,
    pub max_events_per_call: usize,
}

/// The first pause before an event goes again, by how its send ended. It doubles with the sends.
#[derive(Clone, Copy, Debug)]
pub struct RetryBackoff {
    /// After a failure.
    pub after_failure: Ms,
    /// After a refusal.
    pub after_rejection: Ms,
    /// After a send of which nothing left.
    pub after_unsent: Ms,
}

impl RetryBackoff {
    pub fn initial(&self, fate: AttemptOutcome) -> Ms {
        match fate {
            AttemptOutcome::Rejected => self.after_rejection,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => self.after_unsent,
            _ => self.after_failure,
        }
    }
}

/// Where deployments of the module differ. The default is that of the forwarder of events.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    pub retry_backoff: RetryBackoff,
    /// Calls are spaced after refusals and while a lane is cold. Off where targets queue and refuse for
    /// themselves and a refusal costs nothing: only waits that were told hold a lane then.
    pub paces_calls: bool,
    /// An offline lane is released by a ping alone, not by the answer to a call that was still out.
    pub release_on_health_check_only: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        let pauses = RetryBackoff {
            after_failure: 500.0,
            after_rejection: 250.0,
            after_unsent: 500.0,
        };
        Tuning {
            retry_backoff: pauses,
            paces_calls: true,
            release_on_health_check_only: false,
        }
    }
}

impl Tuning {
    /// The most that the first spread after a refusal is, before it grows with the refusals in a row.
    pub fn max_initial_spread(&self) -> Ms {
        if self.paces_calls {
            1000.0
        } else {
            0.0
        }
    }
}

/// What a forwarder is told once, at its start.
#[derive(Clone, Debug, Default)]
pub struct DecisionConfig {
    pub seed: u64,
    pub instance: u64,
    pub forwarder_count: f64,
    pub traffic_types: Vec<TrafficType>,
    pub destination_kinds: Vec<DestinationKind>,
    pub max_calls_in_flight: usize,
    pub event_capacity: usize,
    pub max_attempts: u32,
    pub health_checks_allowed: bool,
    pub max_retry_after: Option<Ms>,
    /// Events a second that each member may ask of all forwarders together; none where there are no members.
    pub member_quotas: Vec<f64>,
    /// What an event beyond its member's share is worth, of the usual.
    pub over_quota_value_weight: f64,
    pub warm_up_initial_share: f64,
    pub warm_up_duration: Ms,
    pub overload_multiple: f64,
    pub key_cooldown: Ms,
    pub tuning: Tuning,
}

/// How the list speaks of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    Running,
    #[serde(rename = "Leaving")]
    Draining,
    #[serde(rename = "Gone")]
    Removed,
}

/// How a send or a ping ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    Delivered,
    Error,
    #[serde(rename = "Full")]
    Rejected,
    TimedOut,
    #[serde(rename = "NoConnection")]
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
}

impl AttemptOutcome {
    /// Whether a send that ended so, undelivered, may have had its effect.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Error
                | AttemptOutcome::TimedOut
                | AttemptOutcome::Reset
                | AttemptOutcome::Cancelled
        )
    }
}

/// How a send ended, and what its answer said.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct AttemptReport {
    pub outcome: AttemptOutcome,
    pub elapsed: Ms,
    /// The event is over, by this answer or earlier.
    pub event_complete: bool,
    /// How long to wait; 0 if nothing was told.
    pub retry_after: Ms,
    /// The share of its limit that the target reports as left; what is no share reports nothing.
    pub limit_remaining: Option<f64>,
}

impl AttemptReport {
    /// With nothing else said, and no time known.
    pub fn from_outcome(fate: AttemptOutcome) -> Self {
        AttemptReport {
            outcome: fate,
            elapsed: 0.0,
            event_complete: fate == AttemptOutcome::Delivered,
            retry_after: 0.0,
            limit_remaining: None,
        }
    }
}

/// A host named something that it never introduced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownId(pub &'static str);
pub type InputResult = Result<(), UnknownId>;

/// Takes the decisions of one round, in the order in which they are to run.
pub trait Effects {
    /// The place among the targets that take the event now of the one that is to have it. None leaves it to
    /// the draw of two.
    fn select_target(
        &mut self,
        _: &EventId,
        _: &mut dyn Iterator<Item = &TargetId>,
    ) -> Option<usize> {
        None
    }
    /// The call's last byte has to have left by `leaves_by`, or none of it may leave: it ends as not sent then.
    /// That is a time on the clock of the host, infinite where nothing bounds it.
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, time_out: Ms, leaves_by: Ms);
    /// True if the end goes as a notice: `Forwarder::heard` follows once that was heard.
    fn reject(&mut self, event: &EventId, come_back_after: Option<Ms>) -> bool;
    /// True as for `dismiss`.
    fn abandon(&mut self, event: &EventId) -> bool;
    fn health_check(&mut self, target: &TargetId);
    /// Closes the connections to the target that no call uses.
    fn close_idle_connections(&mut self, target: &TargetId);
    /// Calls to the target of which nothing is written yet are not to be written: they end as not sent.
    fn cancel_unsent(&mut self, target: &TargetId);
    /// The target's lane is cold since then, and so much usually goes there a second: to be told to
    /// `Forwarder::was_cold` after a restart.
    fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual: f64);
    fn wake_after(&mut self, pause: Ms);
}
