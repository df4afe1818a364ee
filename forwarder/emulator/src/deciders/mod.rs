//! The deciders of forwarders: the decision module or a baseline, behind one trait. The world passes
//! the inputs to the decider and carries out its decisions.

mod baseline;
mod module;

use std::cell::RefCell;
use std::rc::Rc;

use plankhill_decisions::interface::{AttemptOutcome, DecisionConfig, EndpointState, Ms, TargetId};
use plankhill_forwarder_config::scenario;
use slotmap::new_key_type;

new_key_type! { pub struct EventKey; }

/// An input at a forwarder, with the ids of the simulation.
#[derive(Clone, Debug)]
pub enum Input {
    EndpointListed {
        target: u32,
        destination: u32,
        kind: usize,
        zone: usize,
        listing: EndpointState,
    },
    EndpointRemoved {
        target: u32,
    },
    /// An accepted event. `again`: handed over after a restart, so that its completion goes by a
    /// notification.
    Accepted {
        event: EventKey,
        destination: u32,
        traffic: usize,
        deadline: Ms,
        key: Option<u64>,
        again: bool,
    },
    AttemptsRestored {
        event: EventKey,
        attempts: u32,
        may_have_run: Option<(Ms, usize)>,
        was_out: bool,
    },
    CompletionRestored {
        event: EventKey,
    },
    AttemptEnded {
        event: EventKey,
        outcome: AttemptOutcome,
        elapsed: Ms,
        wait: Ms,
    },
    HealthCheckEnded {
        target: u32,
        outcome: AttemptOutcome,
    },
    CompletionAcknowledged {
        event: EventKey,
    },
    WarmUpRestored {
        target: u32,
        since: Ms,
        usual: f64,
    },
    ShutdownBegan {
        ends: Ms,
    },
}

#[derive(Clone, Debug)]
pub enum Decision {
    SendAttempt {
        event: EventKey,
        target: u32,
        timeout: Ms,
    },
    Complete {
        event: EventKey,
        dismissed: bool,
        retry_after: Option<Ms>,
        by_notification: bool,
    },
    HealthCheck {
        target: u32,
    },
    CloseIdleConnections {
        target: u32,
    },
    CancelUnsent {
        target: u32,
    },
    RecordWarmUp {
        target: u32,
        since: Ms,
        usual: f64,
    },
    WakeUp {
        pause: Ms,
    },
}

pub trait Decider {
    /// Runs one iteration of the event loop: handles all inputs in order and appends the decisions to `out`.
    fn iterate(&mut self, now: Ms, inputs: &[Input], out: &mut Vec<Decision>);
}

/// The ids of targets by number, allocated once for all forwarders.
pub type TargetNames = Rc<RefCell<Vec<TargetId>>>;

/// A decider of the kind. `timeout` is the timeout in milliseconds that a baseline gives each
/// call.
pub fn start(
    kind: scenario::Decider,
    config: DecisionConfig,
    timeout: Ms,
    names: &TargetNames,
    now: Ms,
) -> Box<dyn Decider> {
    let mut options = baseline::BaselineOptions {
        attempts: u32::MAX,
        timeout,
        breaker: false,
        budget: false,
        aimd: false,
    };
    match kind {
        scenario::Decider::Module => {
            return Box::new(module::ModuleDecider::start(config, names.clone(), now))
        }
        scenario::Decider::OneTry => options.attempts = 1,
        scenario::Decider::Backoff => (),
        scenario::Decider::Breaker => options.breaker = true,
        scenario::Decider::Budget => options.budget = true,
        scenario::Decider::Aimd => options.aimd = true,
    }
    Box::new(baseline::Baseline::new(config, options))
}
