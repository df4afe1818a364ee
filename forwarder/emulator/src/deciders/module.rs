//! The decision module through its public interface.

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use slotmap::{Key, KeyData};

use super::{Decider, Decision, EventKey, Input, TargetNames};

pub struct Module {
    forwarder: Scheduler,
    names: TargetNames,
    /// Events taken in the present round: their client still waits, so that no notice is needed.
    fresh: Vec<EventKey>,
}

impl Module {
    pub fn start(terms: DecisionConfig, names: TargetNames, now: Ms) -> Self {
        Module {
            forwarder: Scheduler::new(terms, now),
            names,
            fresh: Vec::new(),
        }
    }
}

fn event_id(key: EventKey) -> EventId {
    EventId(itoa::Buffer::new().format(key.data().as_ffi()).into())
}

fn event_key(id: &EventId) -> EventKey {
    KeyData::from_ffi(id.0.parse().expect("made of a number")).into()
}

fn target_number(id: &TargetId) -> u32 {
    id.0.parse().expect("made of a number")
}

impl Decider for Module {
    fn round(&mut self, now: Ms, inputs: &[Input], out: &mut Vec<Decision>) {
        let Module {
            forwarder,
            names,
            fresh,
        } = self;
        fresh.clear();
        let fresh_ones = inputs.iter().filter_map(|input| match input {
            Input::Taken {
                event,
                again: false,
                ..
            } => Some(*event),
            _ => None,
        });
        fresh.extend(fresh_ones);
        let mut written = Written { out, fresh };
        let came_in = |forwarder: &mut Scheduler, _: &mut Written| {
            inputs
                .iter()
                .try_for_each(|input| hand_over(forwarder, names, input))
        };
        forwarder
            .run_iteration(now, came_in, &mut written)
            .expect("the model names only what it introduced");
    }
}

fn hand_over(to: &mut Scheduler, names: &TargetNames, input: &Input) -> InputResult {
    let name = |target: u32| names.borrow()[target as usize].clone();
    match *input {
        Input::Listed {
            target,
            destination,
            kind,
            zone,
            listing,
        } => to.on_endpoint_listed(
            name(target),
            DestinationId(destination as u64),
            DestinationKindId(kind),
            ZoneId(zone),
            listing,
        ),
        Input::Left { target } => to.set_endpoint_state(&name(target), EndpointState::Removed),
        Input::Taken {
            event,
            destination,
            traffic,
            patience_ends,
            key,
            ..
        } => to.accept_event(
            event_id(event),
            DestinationId(destination as u64),
            TrafficTypeId(traffic),
            patience_ends,
            key.map(OrderKey),
        ),
        Input::Restored {
            event,
            sends,
            may_have_run,
            was_out,
        } => {
            let may_have_run = may_have_run.map(|(at, zone)| (at, ZoneId(zone)));
            to.restore_attempts(&event_id(event), sends, may_have_run, was_out)
        }
        Input::EndedBefore { event } => to.restore_completed(&event_id(event)),
        Input::SendEnded {
            event,
            fate,
            took,
            wait,
        } => {
            return to.on_attempt_ended(
                &event_id(event),
                AttemptReport {
                    elapsed: took,
                    retry_after: wait,
                    ..AttemptReport::from_outcome(fate)
                },
            )
        }
        Input::PingEnded { target, fate } => {
            // The target may have been forgotten since: then nothing is to be learned from it.
            let _ = to.on_health_check_ended(&name(target), fate);
        }
        Input::Heard { event } => to.on_completion_acknowledged(&event_id(event)),
        Input::WasCold {
            target,
            since,
            usual,
        } => to.restore_warm_up(&name(target), since, usual),
        Input::Closing { ends } => to.begin_shutdown(ends),
    }
    Ok(())
}

struct Written<'a> {
    out: &'a mut Vec<Decision>,
    fresh: &'a [EventKey],
}

impl Written<'_> {
    fn end(&mut self, event: &EventId, dismissed: bool, come_back_after: Option<Ms>) -> bool {
        let event = event_key(event);
        let by_notice = !self.fresh.contains(&event);
        self.out.push(Decision::End {
            event,
            dismissed,
            come_back_after,
            by_notice,
        });
        by_notice
    }
}

impl Effects for Written<'_> {
    fn send_attempt(&mut self, event: &EventId, target: &TargetId, time_out: Ms, _: Ms) {
        self.out.push(Decision::Send {
            event: event_key(event),
            target: target_number(target),
            time_out,
        });
    }
    fn reject(&mut self, event: &EventId, come_back_after: Option<Ms>) -> bool {
        self.end(event, true, come_back_after)
    }
    fn abandon(&mut self, event: &EventId) -> bool {
        self.end(event, false, None)
    }
    fn health_check(&mut self, target: &TargetId) {
        self.out.push(Decision::Ping {
            target: target_number(target),
        });
    }
    fn close_idle_connections(&mut self, target: &TargetId) {
        self.out.push(Decision::CloseIdle {
            target: target_number(target),
        });
    }
    fn cancel_unsent(&mut self, target: &TargetId) {
        self.out.push(Decision::TakeBack {
            target: target_number(target),
        });
    }
    fn record_warm_up(&mut self, target: &TargetId, since: Ms, usual: f64) {
        self.out.push(Decision::Cold {
            target: target_number(target),
            since,
            usual,
        });
    }
    fn wake_after(&mut self, pause: Ms) {
        self.out.push(Decision::Wake { pause });
    }
}
