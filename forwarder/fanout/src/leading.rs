//! What the instance that leads proposes of its own: ticks, the plan, broadcasts whose patience is over,
//! instances that are lost, and the end of what they held. A new leader counts all waits anew, which makes
//! them longer and never shorter.

use std::collections::BTreeMap;

use plankhill_decisions::interface::Ms;

use crate::command::Command;
use crate::names::*;
use crate::state::FanoutState;

/// Ticks of the log are so far apart.
const TICK: Ms = 1000.0;
/// Who is there is looked at so often: what was proposed is applied meanwhile.
const LOOK: Ms = 100.0;
/// An instance that can't be reached for so long is lost.
const SILENT: Ms = 3000.0;
/// What nobody was handed by half of its patience is dismissed. Handed in later, all that a slow subscriber
/// is sent would come to it with too little left, first in, first out, and none would be delivered.
const WAITS: f64 = 0.5;

#[derive(Default)]
pub struct Coordinator {
    ticked: Option<Ms>,
    looked: Option<Ms>,
    /// Since when it can't be reached.
    silent: BTreeMap<InstanceId, Ms>,
    /// Since when this process knows that it is lost for the time told.
    lost: BTreeMap<(InstanceId, u64), Ms>,
}

impl Coordinator {
    /// What to propose now. `up` are the instances that can be reached; a call takes `longest_call` at most.
    pub fn poll_commands(
        &mut self,
        now: Ms,
        state: &FanoutState,
        up: &[InstanceId],
        longest_call: Ms,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.looked.is_some_and(|looked| now - looked < LOOK) {
            return commands;
        }
        self.looked = Some(now);
        for instance in up {
            self.silent.remove(instance);
            if state.times_lost(*instance).is_some() {
                commands.push(Command::Joined(*instance));
            }
        }
        self.lost
            .retain(|(instance, time), _| state.times_lost(*instance) == Some(*time));
        for instance in state.known_instances().filter(|i| !up.contains(i)) {
            let since = *self.silent.entry(instance).or_insert(now);
            match state.times_lost(instance) {
                None if now - since >= SILENT => commands.push(Command::Lost(instance)),
                None => (),
                Some(time) => {
                    let lost = *self.lost.entry((instance, time)).or_insert(now);
                    let over = now - lost > state.gives_up_after(longest_call);
                    if over && !state.held_by(instance).is_empty() {
                        commands.push(Command::GivenUp { instance, time });
                    }
                }
            }
        }
        if self.ticked.is_some_and(|ticked| now - ticked < TICK) {
            return commands;
        }
        self.ticked = Some(now);
        let over = state
            .broadcasts()
            .filter(|(_, b)| b.at + WAITS * b.patience <= now);
        let over: Vec<Position> = over.map(|(position, _)| position).collect();
        if state.any_waits(&over) {
            commands.push(Command::TimeUp(over));
        }
        commands.push(Command::Tick);
        commands.extend(state.plan());
        commands
    }
}
