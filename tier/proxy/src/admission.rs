//! Hands requests to the dispatcher and carries out its commands.
//!
//! The task of a request holds an [`AdmittedRequest`] and waits there for decisions; the
//! dispatcher's commands reach it through a channel. Health checks go to their own task. One
//! [`Admission`] is shared by all tasks of the process and owns the dispatcher.

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

/// A request that the dispatcher knows and that is not answered yet.
struct PendingRequest {
    /// To the request's task. Holds at most one decision: none follows an attempt before the task
    /// has reported its end, and an answer is the last one.
    decisions: mpsc::UnboundedSender<Decision>,
    in_flight: Option<InFlightAttempt>,
}

struct InFlightAttempt {
    target: InstanceId,
    send_permit: Rc<SendPermit>,
}

/// The dispatcher, the requests that it knows, and the time at which it wants to be asked again.
pub struct Admission {
    clock: Clock,
    dispatcher: RefCell<Box<dyn Dispatch>>,
    pending: RefCell<HashMap<RequestKey, PendingRequest>>,
    next_key: Cell<u64>,
    wake_up: WakeUp,
    pool: Rc<TargetPool>,
    /// Bounded by the dispatcher: it has one health check of a target under way at a time.
    health_checks: mpsc::UnboundedSender<HealthCheckRequest>,
}

impl Admission {
    /// Health checks that are due go to `health_checks`, whose receiver has to live as long as the
    /// process.
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

    /// A key that no request of this process has had.
    pub fn next_key(&self) -> RequestKey {
        let key = self.next_key.get();
        self.next_key.set(key + 1);
        RequestKey(key)
    }

    /// Hands a request to the dispatcher.
    pub fn admit(self: &Rc<Self>, request: NewRequest) -> AdmittedRequest {
        let (sender, decisions) = mpsc::unbounded_channel();
        let key = request.key;
        let pending = PendingRequest {
            decisions: sender,
            in_flight: None,
        };
        self.pending.borrow_mut().insert(key, pending);
        let now = self.clock.now();
        self.dispatcher.borrow_mut().enqueue(now, request);
        self.carry_out_commands();
        AdmittedRequest {
            admission: self.clone(),
            key,
            decisions,
            phase: Phase::Queued,
        }
    }

    /// The tables were replaced.
    pub fn on_tables_changed(&self, snapshot: &Snapshot) {
        self.dispatcher.borrow_mut().on_tables_changed(snapshot);
        self.carry_out_commands();
    }

    /// A health check has ended.
    pub fn on_health_check_ended(&self, target: &InstanceId, result: HealthCheckResult) {
        self.dispatcher
            .borrow_mut()
            .on_health_check_ended(target, result);
        self.carry_out_commands();
    }

    /// A target reported its load in the head of an answer.
    pub fn on_load_reported(&self, target: &InstanceId, load: UpstreamLoad) {
        let now = self.clock.now();
        self.dispatcher
            .borrow_mut()
            .on_load_reported(now, target, load);
        self.carry_out_commands();
    }

    /// Asks the dispatcher whenever it wanted to be asked again. Never returns.
    pub async fn run_timer(&self) {
        loop {
            self.wake_up.due(self.clock).await;
            self.carry_out_commands();
        }
    }

    fn carry_out_commands(&self) {
        let commands = self.dispatcher.borrow_mut().poll_commands(self.clock.now());
        for command in commands {
            self.carry_out(command);
        }
    }

    fn carry_out(&self, command: Command) {
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
                self.answer(request, Decision::Reject(retry_after));
            }
            Command::Fail { request, last } => self.answer(request, Decision::Fail(last)),
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
        // The request's task may be ending; it reports that by itself.
        let _ = pending.decisions.send(Decision::Attempt(attempt));
    }

    fn answer(&self, request: RequestKey, decision: Decision) {
        if let Some(pending) = self.pending.borrow_mut().remove(&request) {
            // The request's task may be ending; then nobody waits for the answer.
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
            self.carry_out_commands();
        }
    }

    /// The request's task has ended in this phase.
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
            self.carry_out_commands();
        }
    }
}

/// Where a request stands, as its task knows it.
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

/// A request that the dispatcher knows. Dropping it before its end tells the dispatcher that the
/// request is cancelled.
pub struct AdmittedRequest {
    admission: Rc<Admission>,
    key: RequestKey,
    decisions: mpsc::UnboundedReceiver<Decision>,
    phase: Phase,
}

impl AdmittedRequest {
    /// The next decision. After [`Decision::Attempt`], [`AdmittedRequest::on_attempt_ended`] has to
    /// come before the next call.
    pub async fn next_decision(&mut self) -> Decision {
        let decision = match self.decisions.recv().await {
            Some(decision) => decision,
            None => Decision::Fail(AttemptOutcome::Cancelled),
        };
        self.phase = Phase::after(&decision);
        decision
    }

    /// The attempt in flight has ended.
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
        // A decision that the task has not taken yet changes the phase: an attempt began, or the
        // request was answered.
        if let Ok(decision) = self.decisions.try_recv() {
            self.phase = Phase::after(&decision);
        }
        self.admission.on_task_ended(self.key, self.phase);
    }
}
