//! The requests that are queued or in flight. Owned by the dispatcher's state.

use std::collections::HashMap;

use plankhill_decisions::interface::{AttemptOutcome, DestinationId, EventId, Ms};

use crate::admission::{queue_deadline, QueueReason};
use crate::prefix_chain::PrefixChain;
use crate::request::{Idempotency, NewRequest, RequestKey};
use crate::retry::{attempt_deadline, Attempts, ExecutionState};

/// The phase of a pending request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The request waits to be sent.
    Queued,
    /// An attempt is in flight.
    InFlight,
    /// The request is rejected, failed or cancelled, and an attempt is still in flight.
    InFlightAbandoned,
    /// The request is complete and no attempt is in flight.
    Complete,
}

/// The next step after the end of an attempt.
pub(crate) enum NextStep {
    /// The request is complete: it was delivered, rejected, failed or cancelled.
    Complete,
    /// No further attempt is allowed: the request has to be rejected or failed.
    GiveUp,
    /// The request is queued for its next attempt until this time.
    QueueUntil(Ms),
}

/// One request, until it is complete and its last attempt has ended.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) service: DestinationId,
    pub(crate) session: Option<u64>,
    pub(crate) latency_target: Ms,
    pub(crate) priority: u8,
    pub(crate) prompt: PrefixChain,
    /// Whether the target selected for the last attempt is one of those that cache the prompt's
    /// shared prefix.
    pub(crate) at_prefix_target: bool,
    deadline: Ms,
    idempotency: Idempotency,
    max_attempts: u32,
    attempts: Attempts,
    phase: Phase,
}

impl PendingRequest {
    pub(crate) fn new(new: &NewRequest, service: DestinationId, priority: u8) -> Self {
        PendingRequest {
            service,
            session: new.session,
            deadline: new.deadline,
            latency_target: new.latency_target,
            priority,
            prompt: PrefixChain::from_parts(&new.prefix),
            at_prefix_target: false,
            idempotency: new.idempotency,
            max_attempts: new.max_attempts,
            attempts: Attempts::default(),
            phase: Phase::Queued,
        }
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        match self.phase {
            Phase::InFlight | Phase::InFlightAbandoned => true,
            Phase::Queued | Phase::Complete => false,
        }
    }

    /// Records that an attempt is sent.
    pub(crate) fn on_sent(&mut self) {
        self.phase = match self.phase {
            Phase::Queued | Phase::InFlight => Phase::InFlight,
            Phase::InFlightAbandoned | Phase::Complete => Phase::InFlightAbandoned,
        };
    }

    /// Records the end of the attempt in flight.
    pub(crate) fn on_attempt_ended(&mut self, now: Ms, outcome: AttemptOutcome) -> NextStep {
        self.attempts.record(outcome);
        if self.phase == Phase::InFlightAbandoned || outcome == AttemptOutcome::Delivered {
            self.phase = Phase::Complete;
            return NextStep::Complete;
        }
        self.phase = Phase::Queued;
        if !self
            .attempts
            .allows_another(self.idempotency, self.max_attempts)
        {
            return NextStep::GiveUp;
        }
        let reason = match ExecutionState::from_outcome(outcome) {
            ExecutionState::NotExecuted => QueueReason::Rejected,
            ExecutionState::MayHaveExecuted | ExecutionState::Executed => QueueReason::Failed,
        };
        NextStep::QueueUntil(queue_deadline(
            now,
            reason,
            self.latency_target,
            self.deadline,
        ))
    }

    /// Marks the request as rejected, failed or cancelled; returns false if it was complete or
    /// marked before.
    pub(crate) fn complete(&mut self) -> bool {
        match self.phase {
            Phase::Queued => self.phase = Phase::Complete,
            Phase::InFlight => self.phase = Phase::InFlightAbandoned,
            Phase::InFlightAbandoned | Phase::Complete => return false,
        }
        true
    }

    /// The time at which an attempt that is sent now times out. A request with a session is a
    /// stream, which may continue until the request's deadline.
    pub(crate) fn attempt_deadline(&self, now: Ms, typical_response_time: Ms) -> Ms {
        if self.session.is_some() {
            return self.deadline;
        }
        let followup = self.attempts.followup(self.idempotency, self.max_attempts);
        attempt_deadline(
            now,
            self.deadline,
            self.latency_target,
            typical_response_time,
            followup,
        )
    }

    /// Whether any attempt was or may have been executed.
    pub(crate) fn may_have_executed(&self) -> bool {
        self.attempts.may_have_executed()
    }

    /// The outcome of the last attempt; `NotSent` if there was none.
    pub(crate) fn last_outcome(&self) -> AttemptOutcome {
        self.attempts.last.unwrap_or(AttemptOutcome::NotSent)
    }
}

/// All pending requests, and their number per session.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests {
    by_key: HashMap<RequestKey, PendingRequest>,
    session_counts: HashMap<u64, usize>,
}

impl PendingRequests {
    pub(crate) fn get(&self, key: RequestKey) -> Option<&PendingRequest> {
        self.by_key.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut PendingRequest> {
        self.by_key.get_mut(&key)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether another request of the session is not complete, or has an attempt in flight.
    pub(crate) fn has_session(&self, session: u64) -> bool {
        self.session_counts.contains_key(&session)
    }

    pub(crate) fn insert(&mut self, key: RequestKey, request: PendingRequest) {
        if let Some(session) = request.session {
            *self.session_counts.entry(session).or_default() += 1;
        }
        self.by_key.insert(key, request);
    }

    /// Removes the request if it is complete and has no attempt in flight.
    pub(crate) fn remove_if_complete(&mut self, key: RequestKey) {
        if self
            .by_key
            .get(&key)
            .is_none_or(|request| request.phase != Phase::Complete)
        {
            return;
        }
        let removed = self.by_key.remove(&key);
        if let Some(session) = removed.and_then(|request| request.session) {
            self.decrement_session_count(session);
        }
    }

    fn decrement_session_count(&mut self, session: u64) {
        let Some(count) = self.session_counts.get_mut(&session) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.session_counts.remove(&session);
        }
    }
}

/// The request's id in the scheduler.
pub(crate) fn event_id(key: RequestKey) -> EventId {
    EventId(key.0.to_string().into())
}

/// The request that an event of the scheduler represents; `None` if the event id is not a request
/// key.
pub(crate) fn request_key(event: &EventId) -> Option<RequestKey> {
    event.0.parse().ok().map(RequestKey)
}
