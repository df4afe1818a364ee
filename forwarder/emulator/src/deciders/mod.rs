//! Who decides at a forwarder. The model hands over what came in and takes decisions; whether the module or
//! a baseline stands behind it is all the same to it.

mod module;
mod plain;

use std::cell::RefCell;
use std::rc::Rc;

use plankhill_decisions::interface::{AttemptOutcome, DecisionConfig, EndpointState, Ms, TargetId};
use plankhill_forwarder_config::scenario;
use slotmap::new_key_type;

new_key_type! { pub struct EventKey; }

/// What came in at a forwarder, with the numbers of the model.
#[derive(Clone, Debug)]
pub enum Input {
    Listed {
        target: u32,
        destination: u32,
        kind: usize,
        zone: usize,
        listing: EndpointState,
    },
    Left {
        target: u32,
    },
    /// `again`: after a restart, so that its end goes by a notice.
    Taken {
        event: EventKey,
        destination: u32,
        traffic: usize,
        patience_ends: Ms,
        key: Option<u64>,
        again: bool,
    },
    Restored {
        event: EventKey,
        sends: u32,
        may_have_run: Option<(Ms, usize)>,
        was_out: bool,
    },
    EndedBefore {
        event: EventKey,
    },
    SendEnded {
        event: EventKey,
        fate: AttemptOutcome,
        took: Ms,
        wait: Ms,
    },
    PingEnded {
        target: u32,
        fate: AttemptOutcome,
    },
    Heard {
        event: EventKey,
    },
    WasCold {
        target: u32,
        since: Ms,
        usual: f64,
    },
    Closing {
        ends: Ms,
    },
}

#[derive(Clone, Debug)]
pub enum Decision {
    Send {
        event: EventKey,
        target: u32,
        time_out: Ms,
    },
    End {
        event: EventKey,
        dismissed: bool,
        come_back_after: Option<Ms>,
        by_notice: bool,
    },
    Ping {
        target: u32,
    },
    CloseIdle {
        target: u32,
    },
    TakeBack {
        target: u32,
    },
    Cold {
        target: u32,
        since: Ms,
        usual: f64,
    },
    Wake {
        pause: Ms,
    },
}

pub trait Decider {
    /// One round: all that came in, in its order; decisions are put behind `out`.
    fn round(&mut self, now: Ms, inputs: &[Input], out: &mut Vec<Decision>);
}

/// The names of targets, made once for all forwarders.
pub type TargetNames = Rc<RefCell<Vec<TargetId>>>;

/// `time_out` is what a baseline gives each call.
pub fn start(
    kind: scenario::Decider,
    terms: DecisionConfig,
    time_out: Ms,
    names: &TargetNames,
    now: Ms,
) -> Box<dyn Decider> {
    use scenario::Decider::*;
    let mut habits = plain::Habits {
        sends: u32::MAX,
        time_out,
        breaker: false,
        budget: false,
        aimd: false,
    };
    match kind {
        Module => return Box::new(module::Module::start(terms, names.clone(), now)),
        OneTry => habits.sends = 1,
        Backoff => (),
        Breaker => habits.breaker = true,
        Budget => habits.budget = true,
        Aimd => habits.aimd = true,
    }
    Box::new(plain::Plain::new(terms, habits))
}
