//! What a successor, the instance that a group elects after the loss of its owner, does with each pending event
//! of the group. The event's records are all that the successor has of the owner's state: they do not show
//! whether an attempt that was in flight when the owner was lost has ended.
//!
//! The forwarder's event loop calls [`plan_adoption`] for each event when a group has elected its instance.

use plankhill_event_log::{Outcome, PendingEvent};

/// The successor's own knowledge of the event's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalKnowledge {
    /// Nothing: the event is new here.
    Unknown,
    /// The event is pending here in another group's log.
    Pending,
    /// An attempt of the successor itself is still in flight, from a time when it led the group before.
    OwnAttemptInFlight,
    /// An event of that id was completed here, or its outcome is being reported.
    Completed,
}

/// What the successor does with the event.
#[derive(Clone, Debug, PartialEq)]
pub enum AdoptionAction {
    /// Resumes the event as after a restart.
    Restore {
        /// `Some` if an attempt may be in flight: neither the event nor the next one of its order key is
        /// attempted before then, in milliseconds on the clock of `now`.
        in_flight_until: Option<f64>,
    },
    /// Merges the event with the pending one of the same id: the attempts of both are added up, and the event
    /// waits for the attempts of both.
    Merge {
        /// As in [`AdoptionAction::Restore`].
        in_flight_until: Option<f64>,
    },
    /// Reports the outcome again, with the time after which the client may submit the event again (in
    /// milliseconds).
    NotifyAgain(Outcome, Option<f64>),
    /// Awaits the result of the successor's own attempt: no other instance had one in flight.
    AwaitOwnAttempt,
    /// Completes the record: the event already has its outcome.
    Discard,
}

/// The longest that an attempt may take, in milliseconds: used for an attempt whose timeout was not recorded.
const MAX_ATTEMPT_TIMEOUT_MS: f64 = 16_000.0;

/// Decides what to do with `pending`.
///
/// `now` is the time of the adoption, on the clock of the successor's waits, and `watchdog_timeout` the time
/// after which the kernel ends a process that is stalled, both in milliseconds. No attempt of an earlier
/// owner begins after `now`, since its lease ended before. One that began before is in flight for its timeout
/// and up to twice the watchdog's: once for the time for which its process may be stalled, once for the delay
/// of the timers of both processes.
pub fn plan_adoption(
    pending: &PendingEvent,
    knowledge: LocalKnowledge,
    now: f64,
    watchdog_timeout: f64,
) -> AdoptionAction {
    let in_flight_until = in_flight_until(pending, now, watchdog_timeout);
    match (knowledge, pending.outcome) {
        (LocalKnowledge::OwnAttemptInFlight, _) => AdoptionAction::AwaitOwnAttempt,
        (LocalKnowledge::Completed, _) => AdoptionAction::Discard,
        // The pending event gets its own outcome, and one outcome is enough.
        (LocalKnowledge::Pending, Some(_)) => AdoptionAction::Discard,
        (LocalKnowledge::Pending, None) => AdoptionAction::Merge { in_flight_until },
        (LocalKnowledge::Unknown, Some((outcome, retry_after))) => {
            AdoptionAction::NotifyAgain(outcome, retry_after)
        }
        (LocalKnowledge::Unknown, None) => AdoptionAction::Restore { in_flight_until },
    }
}

fn in_flight_until(pending: &PendingEvent, now: f64, watchdog_timeout: f64) -> Option<f64> {
    pending.in_flight.as_ref()?;
    let timeout = pending.timeout.unwrap_or(MAX_ATTEMPT_TIMEOUT_MS);
    Some(now + timeout + 2.0 * watchdog_timeout)
}
