//! The invariants that the simulation checks.

use std::collections::BTreeSet;

use plankhill_raft_groups::replica::Replica;
use plankhill_raft_groups::{GroupEvent, Incarnation};

use super::command_list::decode_commands;
use super::{Simulation, STALL_TIMEOUT_MS};

impl Simulation {
    pub(super) fn on_event(&mut self, me: Incarnation, event: GroupEvent) {
        match event {
            GroupEvent::Elected { term, state, .. } => {
                self.election_count += 1;
                if let Some(other) = self
                    .leader_by_term
                    .insert(term, me)
                    .filter(|other| *other != me)
                {
                    self.violations
                        .push(format!("{me:?} and {other:?} both lead in {term:?}"));
                }
                self.check_leader_state(me, decode_commands(&state));
            }
            GroupEvent::Committed { number, .. } => {
                self.committed.insert(self.proposed_commands[&(me, number)]);
            }
            GroupEvent::Discarded { number, .. } => {
                self.discarded.insert(self.proposed_commands[&(me, number)]);
            }
            _ => {}
        }
    }

    /// Checks that the state of each new leader contains all commands reported as committed and none reported as
    /// discarded.
    fn check_leader_state(&mut self, me: Incarnation, state: Vec<u64>) {
        let common = self.last_leader_state.len().min(state.len());
        if self.last_leader_state[..common] != state[..common]
            || state.len() < self.last_leader_state.len()
        {
            self.violations.push(format!(
                "{me:?} leads with a state that does not extend the previous leader's"
            ));
        }
        let commands: BTreeSet<u64> = state.iter().copied().collect();
        if commands.len() != state.len() {
            self.violations.push(format!("{me:?} has a command twice"));
        }
        if let Some(lost) = self.committed.iter().find(|c| !commands.contains(c)) {
            self.violations.push(format!(
                "{me:?} leads without command {lost}, which was reported as committed"
            ));
        }
        if let Some(discarded) = self.discarded.iter().find(|c| commands.contains(c)) {
            self.violations.push(format!(
                "{me:?} leads with command {discarded}, which was reported as discarded"
            ));
        }
        self.last_leader_state = state;
    }

    /// An instance that has checked its lease may act on it for the stall timeout, after which the kernel kills its
    /// process. No other instance may hold the lease during that time.
    pub(super) fn check_leases(&mut self) {
        let now = self.now;
        for at in 0..self.nodes.len() {
            let node = &mut self.nodes[at];
            let until = node.replica.as_ref().map_or(0.0, Replica::lease_until);
            if node.replica.is_none() {
                node.lease_held_at = f64::NEG_INFINITY;
            }
            if now * node.clock_rate >= until {
                continue;
            }
            node.lease_held_at = now;
            let me = node.me;
            if let Some(other) = self
                .nodes
                .iter()
                .find(|o| o.me != me && o.lease_held_at + STALL_TIMEOUT_MS > now)
            {
                self.violations.push(format!(
                    "{me:?} holds the lease while {:?} may still act",
                    other.me
                ));
            }
        }
    }
}
