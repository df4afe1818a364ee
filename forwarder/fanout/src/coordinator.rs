//! The proposals of the leader: ticks, the plan, the rejection of copies that waited for too long, the loss
//! of instances, and the end of the copies that lost instances had. A new leader restarts all waits, which
//! makes them longer and never shorter.

use std::collections::BTreeMap;

use plankhill_decisions::interface::Ms;

use crate::command::Command;
use crate::names::*;
use crate::state::FanoutState;

/// Interval between ticks of the log.
const TICK_INTERVAL: Ms = 1000.0;
/// Interval between checks of which instances are reachable. Earlier proposals are applied in the meantime.
const POLL_INTERVAL: Ms = 100.0;
/// An instance that is unreachable for this long is lost.
const LOST_AFTER: Ms = 3000.0;
/// Share of the patience after which copies that no instance was handed are rejected. The queue of a slow
/// subscriber is first in, first out: handed over later than this, every copy would reach it with too little
/// time left, and none would be delivered.
const MAX_QUEUED_SHARE: f64 = 0.5;

/// The state on which the proposals of the leader depend; a newly elected leader starts with the default.
#[derive(Default)]
pub struct Coordinator {
    last_tick: Option<Ms>,
    last_poll: Option<Ms>,
    /// When each unreachable instance became unreachable.
    unreachable_since: BTreeMap<InstanceId, Ms>,
    /// When this process first saw the latest loss of each lost instance; the key includes the number of that
    /// loss.
    lost_since: BTreeMap<(InstanceId, u64), Ms>,
}

impl Coordinator {
    /// The commands to propose now. `reachable` are the instances that can be reached; a call takes at most
    /// `longest_call`.
    pub fn poll_commands(
        &mut self,
        now: Ms,
        state: &FanoutState,
        reachable: &[InstanceId],
        longest_call: Ms,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        if self
            .last_poll
            .is_some_and(|last_poll| now - last_poll < POLL_INTERVAL)
        {
            return commands;
        }
        self.last_poll = Some(now);
        for instance in reachable {
            self.unreachable_since.remove(instance);
            if state.times_lost(*instance).is_some() {
                commands.push(Command::Joined(*instance));
            }
        }
        self.lost_since
            .retain(|(instance, time), _| state.times_lost(*instance) == Some(*time));
        for instance in state.known_instances().filter(|i| !reachable.contains(i)) {
            let since = *self.unreachable_since.entry(instance).or_insert(now);
            match state.times_lost(instance) {
                None if now - since >= LOST_AFTER => commands.push(Command::Lost(instance)),
                None => (),
                Some(time) => {
                    let lost = *self.lost_since.entry((instance, time)).or_insert(now);
                    let is_due = now - lost > state.write_off_delay(longest_call);
                    if is_due && !state.assigned_copies(instance).is_empty() {
                        commands.push(Command::GivenUp { instance, time });
                    }
                }
            }
        }
        if self
            .last_tick
            .is_some_and(|last_tick| now - last_tick < TICK_INTERVAL)
        {
            return commands;
        }
        self.last_tick = Some(now);
        let overdue = state
            .broadcasts()
            .filter(|(_, b)| b.at + MAX_QUEUED_SHARE * b.patience <= now);
        let overdue: Vec<Position> = overdue.map(|(position, _)| position).collect();
        if state.any_queued(&overdue) {
            commands.push(Command::TimeUp(overdue));
        }
        commands.push(Command::Tick);
        commands.extend(state.plan());
        commands
    }
}
