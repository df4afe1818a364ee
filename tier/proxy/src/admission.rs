//! Passes requests to the dispatcher and executes its commands.
//!
//! The task of each request owns an [`AdmittedRequest`] and awaits decisions on it; the
//! dispatcher's commands are delivered through a channel. Health checks are sent to a separate
//! task. One [`Admission`] is shared by all tasks of the process and owns the dispatcher.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use plankhill_dispatch::{
    AttemptOutcome, AttemptResult, Command, HealthCheckResult, NewRequest, RequestKey, UpstreamLoad,
};
use plankhill_protocol::ids::InstanceId;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::decision::{Attempt, Decision, HealthCheckRequest, SendPermit};
use crate::dispatch::Dispatch;
use crate::snapshot::Snapshot;
use crate::target_pool::TargetPool;
use crate::wake_up::WakeUp;

/// The entry of an admitted request in [`Admission`], through which the dispatcher's commands reach
/// the request's [`AdmittedRequest`]. The entry is removed when the dispatcher rejects or fails the
/// request, or when the request's task ends.
struct RequestEntry {
    /// Channel to the request's task. Contains at most one decision: after an attempt, no decision
    /// is sent until the task has reported the end of the attempt, and a rejection or failure is
    /// the last decision.
    decisions: mpsc::UnboundedSender<Decision>,
    in_flight: Option<InFlightAttempt>,
}

struct InFlightAttempt {
    target: InstanceId,
    send_permit: Rc<SendPermit>,
}

/// The dispatcher, its pending requests, and the time of its next poll.
pub struct Admission {
    clock: Clock,
    dispatcher: RefCell<Box<dyn Dispatch>>,
    pending: RefCell<HashMap<RequestKey, RequestEntry>>,
    next_key: Cell<u64>,
    wake_up: WakeUp,
    pool: Rc<TargetPool>,
    /// Bounded by the dispatcher, which requests at most one health check per target at a time.
    health_checks: mpsc::UnboundedSender<HealthCheckRequest>,
}

impl Admission {
    /// Health checks that are due are sent to `health_checks`, whose receiver must live as long as
    /// the process.
    pub fn new(
        clock: Clock,
        dispatcher: Box<dyn Dispatch>,
        pool: Rc<TargetPool>,
        health_checks: mpsc::UnboundedSender<HealthCheckRequest>,
    ) -> Self {
        Admission {
            clock,
            dispatcher: RefCell::new(dispatcher),
            pending: RefCell::default(),
            next_key: Cell::new(1),
            wake_up: WakeUp::default(),
            pool,
            health_checks,
        }
    }

    /// Returns a key that no request of this process has had.
    pub fn next_key(&self) -> RequestKey {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        RequestKey(key)
    }

    /// Passes a request to the dispatcher.
    pub fn admit(self: &Rc<Self>, request: NewRequest) -> AdmittedRequest {
        let (sender, decisions) = mpsc::unbounded_channel();
        let key = request.key;
        let pending = RequestEntry {
            decisions: sender,
            in_flight: None,
        };
        self.pending.borrow_mut().insert(key, pending);
        let now = self.clock.now();
        self.dispatcher.borrow_mut().enqueue(now, request);
        self.execute_commands();
        AdmittedRequest {
            admission: self.clone(),
            key,
            decisions,
            phase: Phase::Queued,
        }
    }

    /// Notifies the dispatcher that the tables were replaced.
    pub fn on_tables_changed(&self, snapshot: &Snapshot) {
        self.dispatcher.borrow_mut().on_tables_changed(snapshot);
        self.execute_commands();
    }

    /// Notifies the dispatcher of the result of a health check.
    pub fn on_health_check_ended(&self, target: &InstanceId, result: HealthCheckResult) {
        self.dispatcher
            .borrow_mut()
            .on_health_check_ended(target, result);
        self.execute_commands();
    }

    /// Notifies the dispatcher of the load that a target reported in a response head.
    pub fn on_load_reported(&self, target: &InstanceId, load: UpstreamLoad) {
        let now = self.clock.now();
        self.dispatcher
            .borrow_mut()
            .on_load_reported(now, target, load);
        self.execute_commands();
    }

    /// Polls the dispatcher at the times set by [`Command::WakeAt`]. Never returns.
    pub async fn run_timer(&self) {
        loop {
            self.wake_up.due(self.clock).await;
            self.execute_commands();
        }
    }

    fn execute_commands(&self) {
        let commands = self.dispatcher.borrow_mut().poll_commands(self.clock.now());
        for command in commands {
            self.execute(command);
        }
    }

    fn execute(&self, command: Command) {
        match command {
            Command::Send {
                request,
                target,
                address,
                deadline,
                priority,
            } => {
                let send_permit = Rc::new(SendPermit::default());
                let attempt = Attempt {
                    target,
                    address,
                    deadline,
                    priority,
                    send_permit,
                };
                self.begin_attempt(request, attempt);
            }
            Command::Reject {
                request,
                retry_after,
            } => {
                self.send_final_decision(request, Decision::Reject(retry_after));
            }
            Command::Fail { request, last } => {
                self.send_final_decision(request, Decision::Fail(last))
            }
            Command::HealthCheck { target, address } => {
                // Never an error: the receiver lives as long as the process.
                let _ = self
                    .health_checks
                    .send(HealthCheckRequest { target, address });
            }
            Command::CloseIdleConnections { target } => self.pool.close_idle(&target),
            Command::CancelUnsent { target } => self.revoke_send_permits(&target),
            Command::WakeAt(at) => self.wake_up.set_if_earlier(at),
        }
    }

    fn begin_attempt(&self, request: RequestKey, attempt: Attempt) {
        let mut pending = self.pending.borrow_mut();
        let Some(pending) = pending.get_mut(&request) else {
            return;
        };
        pending.in_flight = Some(InFlightAttempt {
            target: attempt.target.clone(),
            send_permit: attempt.send_permit.clone(),
        });
        // The send fails if the request's task is ending; dropping its `AdmittedRequest` reports
        // that.
        let _ = pending.decisions.send(Decision::Attempt(attempt));
    }

    fn send_final_decision(&self, request: RequestKey, decision: Decision) {
        if let Some(pending) = self.pending.borrow_mut().remove(&request) {
            // The send fails if the request's task is ending; no decision is needed then.
            let _ = pending.decisions.send(decision);
        }
    }

    fn revoke_send_permits(&self, target: &InstanceId) {
        for pending in self.pending.borrow().values() {
            match &pending.in_flight {
                Some(attempt) if attempt.target == *target => attempt.send_permit.revoke(),
                Some(_) | None => {}
            }
        }
    }

    fn on_attempt_ended(&self, key: RequestKey, result: AttemptResult) {
        let ended = match self.pending.borrow_mut().get_mut(&key) {
            Some(pending) => pending.in_flight.take(),
            None => None,
        };
        if let Some(attempt) = ended {
            let now = self.clock.now();
            self.dispatcher
                .borrow_mut()
                .on_attempt_ended(now, key, &attempt.target, result);
            self.execute_commands();
        }
    }

    /// Handles the end of the request's task, which ended in `phase`.
    fn on_task_ended(&self, key: RequestKey, phase: Phase) {
        match phase {
            Phase::Queued => self.dispatcher.borrow_mut().cancel(key),
            Phase::InFlight => {
                let cancelled = AttemptResult::from_outcome(AttemptOutcome::Cancelled);
                self.on_attempt_ended(key, cancelled);
            }
            Phase::Done => {}
        }
        let removed = self.pending.borrow_mut().remove(&key);
        if removed.is_some() {
            self.execute_commands();
        }
    }
}

/// The phase of a request as seen by its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Queued,
    InFlight,
    Done,
}

impl Phase {
    fn after(decision: &Decision) -> Self {
        match decision {
            Decision::Attempt(_) => Phase::InFlight,
            Decision::Reject(_) | Decision::Fail(_) => Phase::Done,
        }
    }
}

/// The request's side of its admission, owned by the request's task. Dropping the value before the
/// request is done reports the cancellation to the dispatcher.
pub struct AdmittedRequest {
    admission: Rc<Admission>,
    key: RequestKey,
    decisions: mpsc::UnboundedReceiver<Decision>,
    phase: Phase,
}

impl AdmittedRequest {
    /// Waits for the next decision. After [`Decision::Attempt`],
    /// [`AdmittedRequest::on_attempt_ended`] must be called before the next call.
    pub async fn next_decision(&mut self) -> Decision {
        let decision = match self.decisions.recv().await {
            Some(decision) => decision,
            None => Decision::Fail(AttemptOutcome::Cancelled),
        };
        self.phase = Phase::after(&decision);
        decision
    }

    /// Reports the end of the attempt in flight.
    pub fn on_attempt_ended(&mut self, result: AttemptResult) {
        self.phase = match result.outcome {
            AttemptOutcome::Delivered => Phase::Done,
            _ => Phase::Queued,
        };
        self.admission.on_attempt_ended(self.key, result);
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        // A decision that the task has not received yet changes the phase: an attempt began, or the
        // request was rejected or failed.
        if let Ok(decision) = self.decisions.try_recv() {
            self.phase = Phase::after(&decision);
        }
        self.admission.on_task_ended(self.key, self.phase);
    }
}
