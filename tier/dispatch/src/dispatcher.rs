//! The dispatcher: what the proxy hands in is gathered, and one round of the decision module makes commands
//! of it.

use std::collections::HashMap;
use std::convert::Infallible;

use plankhill_decisions::interface::{AttemptOutcome, DestinationId, Ms, OrderKey};
use plankhill_decisions::scheduler::Scheduler;
use plankhill_protocol::ids::InstanceId;
use plankhill_protocol::tables::Target;

use crate::admission::{self, HeldFor};
use crate::allocation::Allocator;
use crate::bridge::Bridge;
use crate::holds::Holds;
use crate::inputs::Input;
use crate::interface::{
    Command, DispatchSettings, Ended, NewRequest, PingAnswer, RequestKey, UpstreamLoad,
};
use crate::module_terms;
use crate::requests::{Request, Requests};
use crate::retry::Verdict;
use crate::settle::{SessionRests, SettleTime};
use crate::targets::{target_id, Targets};

/// Decides which request goes next to which target.
///
/// Every request ends by one of: a call that was delivered, [`Command::Refuse`], [`Command::Fail`], or the
/// proxy's own [`Dispatcher::withdrawn`]. Every [`Command::Send`] has to be answered by one
/// [`Dispatcher::ended`], also after a withdrawal.
pub struct Dispatcher {
    settings: DispatchSettings,
    module: Scheduler,
    inputs: Vec<Input>,
    requests: Requests,
    targets: Targets,
    /// What prompts each service is asked for, and which targets keep them.
    allocators: HashMap<DestinationId, Allocator>,
    holds: Holds,
    settle: SettleTime,
    rests: SessionRests,
    draws: u64,
    /// Requests whose end was decided outside the module's round.
    given_up: Vec<RequestKey>,
    /// When the module asked for its next round.
    wake_at: Option<Ms>,
}

impl Dispatcher {
    /// A dispatcher that knows no target yet.
    pub fn new(settings: DispatchSettings, now: Ms) -> Self {
        let settle = SettleTime::default();
        let module = Scheduler::new(module_terms::terms(&settings, settle.value()), now);
        let draws = settings.seed;
        Dispatcher {
            settings,
            module,
            inputs: Vec::new(),
            requests: Requests::default(),
            targets: Targets::default(),
            allocators: HashMap::new(),
            holds: Holds::default(),
            settle,
            rests: SessionRests::default(),
            draws,
            given_up: Vec::new(),
            wake_at: None,
        }
    }

    /// Takes over the tables' targets. Draining ones get nothing new, those not named any more neither; a new
    /// id at an old address inherits nothing.
    pub fn tables_changed(&mut self, targets: &[Target]) {
        let changes = self.targets.replace(&self.settings.zone, targets);
        if !changes.is_empty() {
            self.allocators
                .values_mut()
                .for_each(Allocator::targets_changed);
        }
        self.inputs.extend(changes.into_iter().map(Input::Relisted));
    }

    /// Takes in a request.
    pub fn request(&mut self, now: Ms, new: NewRequest) {
        let key = new.key;
        if self.requests.get(key).is_some() {
            return;
        }
        let priority = admission::priority(new.priority, new.finish_left, new.objective);
        let service = self.targets.service(&new.service);
        let hold_until = self.first_hold(now, &new);
        self.holds.set(key, hold_until);
        let request = Request::new(&new, service, priority);
        if let Some(text) = request.chains.text() {
            self.allocators.entry(service).or_default().note(now, text);
        }
        self.requests.insert(key, request);
        self.inputs.push(Input::Taken {
            key,
            service,
            traffic: module_terms::traffic_of(new.repeats, priority),
            deadline: new.deadline,
            session: new.session.map(OrderKey),
        });
    }

    /// Until when a new request is held: what it may wait for begins once its session no longer rests.
    fn first_hold(&self, now: Ms, new: &NewRequest) -> Ms {
        let behind = new
            .session
            .is_some_and(|session| self.requests.has_session(session));
        let held_for = if behind {
            HeldFor::Session
        } else {
            HeldFor::FirstSend
        };
        let from = new
            .session
            .map_or(now, |session| self.rests.over_at(now, session));
        admission::hold_until(from, held_for, new.objective, new.deadline)
    }

    /// The client has left, or has its answer by other means: the request is not sent any more. A call that
    /// is out is the proxy's to end.
    pub fn withdrawn(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.is_over = true;
        self.holds.remove(key);
        self.requests.forget_if_done(key);
        self.inputs.push(Input::Withdrawn(key));
    }

    /// A target told its load, in the head of an answer.
    pub fn load_seen(&mut self, now: Ms, target: &InstanceId, load: UpstreamLoad) {
        if let Some(known) = self.targets.get_mut(&target_id(target)) {
            known.load.reported(now, load);
        }
    }

    /// A call ended. Ignored if none was out.
    pub fn ended(&mut self, now: Ms, key: RequestKey, target: &InstanceId, ended: Ended) {
        let Some(request) = self.requests.get_mut(key).filter(|request| request.is_out) else {
            return;
        };
        request.is_out = false;
        request.attempts.count(ended.fate);
        if let Some(session) = request
            .session
            .filter(|_| Verdict::of(ended.fate) == Verdict::MayHaveRun)
        {
            self.rests.begin(now, session, now + self.settle.value());
        }
        let wait = self.note_end(now, target, &ended);
        let over = self.decide_next(now, key, ended.fate);
        let told = plankhill_decisions::interface::AttemptReport {
            elapsed: ended.took,
            event_complete: over,
            retry_after: wait,
            ..plankhill_decisions::interface::AttemptReport::from_outcome(ended.fate)
        };
        self.inputs.push(Input::SendEnded(key, told));
        self.requests.forget_if_done(key);
    }

    /// What the end says of the target; returns the wait that holds it.
    fn note_end(&mut self, now: Ms, target: &InstanceId, ended: &Ended) -> Ms {
        let settled = ended
            .longest_pause
            .and_then(|pause| self.settle.seen(pause));
        settled.into_iter().for_each(|rest| self.retune(rest));
        let Some(known) = self.targets.get_mut(&target_id(target)) else {
            return 0.0;
        };
        known.load.ended();
        if let Some(load) = ended.load {
            known.load.reported(now, load);
        }
        match ended.fate {
            AttemptOutcome::Delivered => known.load.answered(ended.took),
            AttemptOutcome::Rejected => {
                let wait = ended
                    .retry_after
                    .unwrap_or_else(|| known.load.wait_after_refusal(now));
                known.closed_until = now + wait;
                return wait;
            }
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset => known.load.failed(now),
            AttemptOutcome::NotSent => known.load.failed(now),
            AttemptOutcome::Cancelled => (),
        }
        0.0
    }

    /// Whether the request is over by this end; if it is not, it is held for its next call.
    fn decide_next(&mut self, now: Ms, key: RequestKey, fate: AttemptOutcome) -> bool {
        let Some(request) = self.requests.get_mut(key) else {
            return true;
        };
        if fate == AttemptOutcome::Delivered {
            request.is_over = true;
        }
        if request.is_over {
            return true;
        }
        if !request
            .attempts
            .allow_another(request.repeats, request.max_attempts)
        {
            self.given_up.push(key);
            return true;
        }
        let held_for = match Verdict::of(fate) {
            Verdict::NotRun => HeldFor::Refused,
            Verdict::MayHaveRun | Verdict::Ran => HeldFor::NextSend,
        };
        let until = admission::hold_until(now, held_for, request.objective, request.deadline);
        self.holds.set(key, until);
        false
    }

    /// Changes the rest of a session after a call that may still run.
    fn retune(&mut self, rest: Ms) {
        let module = std::mem::take(&mut self.module);
        self.module = module.resume(module_terms::terms(&self.settings, rest));
    }

    /// A health check was answered, or was not.
    pub fn pinged(&mut self, target: &InstanceId, answer: PingAnswer) {
        let id = target_id(target);
        let fate = match answer {
            PingAnswer::Healthy => AttemptOutcome::Delivered,
            PingAnswer::Unhealthy => AttemptOutcome::Error,
        };
        self.inputs.push(Input::PingEnded(id, fate));
    }

    /// Runs one round of the decision module and returns what is to be done. To be called after anything was
    /// handed in, and at the time of the last [`Command::WakeAt`].
    pub fn commands(&mut self, now: Ms) -> Vec<Command> {
        let mut commands = Vec::new();
        self.wake_at.take_if(|at| *at <= now);
        let (inputs, given_up) = (
            std::mem::take(&mut self.inputs),
            std::mem::take(&mut self.given_up),
        );
        let mut bridge = Bridge {
            now,
            requests: &mut self.requests,
            targets: &mut self.targets,
            allocators: &mut self.allocators,
            holds: &mut self.holds,
            commands: &mut commands,
            draws: &mut self.draws,
            wake_at: &mut self.wake_at,
        };
        given_up.into_iter().for_each(|key| bridge.end(key));
        let hand_over = |module: &mut Scheduler, bridge: &mut Bridge| -> Result<(), Infallible> {
            inputs.into_iter().for_each(|input| input.hand_over(module));
            while let Some(key) = bridge.holds.pop_over(bridge.now) {
                bridge.end(key);
                Input::Withdrawn(key).hand_over(module);
            }
            Ok(())
        };
        let Ok(()) = self.module.run_iteration(now, hand_over, &mut bridge);
        self.targets.forget_gone();
        let wake_at = self
            .wake_at
            .into_iter()
            .chain(self.holds.next())
            .reduce(f64::min);
        commands.extend(wake_at.map(Command::WakeAt));
        commands
    }

    /// Requests that are held or out.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing is held or out.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
