//! What the dispatcher keeps of each request until its end.

use std::collections::HashMap;

use plankhill_decisions::interface::{AttemptOutcome, DestinationId, EventId, Ms};

use crate::affinity::Chains;
use crate::interface::{NewRequest, Repeats, RequestKey};
use crate::retry::{call_deadline, Attempts};

/// One request, until it is over and its last call has ended.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) service: DestinationId,
    pub(crate) session: Option<u64>,
    pub(crate) repeats: Repeats,
    pub(crate) deadline: Ms,
    pub(crate) objective: Ms,
    pub(crate) max_attempts: u32,
    pub(crate) priority: u8,
    pub(crate) chains: Chains,
    pub(crate) attempts: Attempts,
    /// The target chosen for its last call is one of those that keep the text of its prompt.
    pub(crate) at_keeper: bool,
    /// A call is out.
    pub(crate) is_out: bool,
    /// Its end is decided, or its client has left.
    pub(crate) is_over: bool,
}

impl Request {
    pub(crate) fn new(new: &NewRequest, service: DestinationId, priority: u8) -> Self {
        Request {
            service,
            session: new.session,
            repeats: new.repeats,
            deadline: new.deadline,
            objective: new.objective,
            max_attempts: new.max_attempts,
            priority,
            chains: Chains::of(&new.prefix),
            attempts: Attempts::default(),
            at_keeper: false,
            is_out: false,
            is_over: false,
        }
    }

    /// When a call that leaves now ends as timed out. A stream goes on for as long as it may.
    pub(crate) fn call_deadline(&self, now: Ms, usual_answer: Ms) -> Ms {
        let another = self
            .attempts
            .more_after_this(self.repeats, self.max_attempts);
        let may_follow = another && self.session.is_none();
        call_deadline(now, self.deadline, self.objective, usual_answer, may_follow)
    }

    /// How its last call ended; not sent if it had none.
    pub(crate) fn last_fate(&self) -> AttemptOutcome {
        self.attempts.last.unwrap_or(AttemptOutcome::NotSent)
    }
}

/// All requests, and how many of each session are not over.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    by_key: HashMap<RequestKey, Request>,
    sessions: HashMap<u64, usize>,
}

impl Requests {
    pub(crate) fn get(&self, key: RequestKey) -> Option<&Request> {
        self.by_key.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.by_key.get_mut(&key)
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether another request of that session is not over, or has a call out.
    pub(crate) fn has_session(&self, session: u64) -> bool {
        self.sessions.contains_key(&session)
    }

    pub(crate) fn insert(&mut self, key: RequestKey, request: Request) {
        if let Some(session) = request.session {
            *self.sessions.entry(session).or_default() += 1;
        }
        self.by_key.insert(key, request);
    }

    /// Forgets the request once it is over and no call of it is out.
    pub(crate) fn forget_if_done(&mut self, key: RequestKey) {
        let done = self
            .by_key
            .get(&key)
            .is_some_and(|request| request.is_over && !request.is_out);
        if !done {
            return;
        }
        let session = self.by_key.remove(&key).and_then(|request| request.session);
        let Some(session) = session else { return };
        let Some(count) = self.sessions.get_mut(&session) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.sessions.remove(&session);
        }
    }
}

/// The request's name in the decision module.
pub(crate) fn event_id(key: RequestKey) -> EventId {
    EventId(key.0.to_string().into())
}

/// The request that an event of the decision module stands for.
pub(crate) fn key_of(event: &EventId) -> Option<RequestKey> {
    event.0.parse().ok().map(RequestKey)
}
