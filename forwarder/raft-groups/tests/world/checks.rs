//! What must never be seen.

use std::collections::BTreeSet;

use plankhill_raft_groups::replica::Replica;
use plankhill_raft_groups::{GroupEvent, Incarnation};

use super::command_list::words;
use super::{World, STALL};

impl World {
    pub(super) fn hear(&mut self, me: Incarnation, news: GroupEvent) {
        match news {
            GroupEvent::Elected { term, state, .. } => {
                self.leads += 1;
                if let Some(other) = self.terms.insert(term, me).filter(|other| *other != me) {
                    self.faults
                        .push(format!("{me:?} and {other:?} both lead in {term:?}"));
                }
                self.agree(me, words(&state));
            }
            GroupEvent::Committed { number, .. } => {
                self.committed.insert(self.asked[&(me, number)]);
            }
            GroupEvent::Discarded { number, .. } => {
                self.void.insert(self.asked[&(me, number)]);
            }
            _ => {}
        }
    }

    /// CommandList that is told as committed is in every later leader's state, and nothing void is.
    fn agree(&mut self, me: Incarnation, state: Vec<u64>) {
        let common = self.agreed.len().min(state.len());
        if self.agreed[..common] != state[..common] || state.len() < self.agreed.len() {
            self.faults.push(format!(
                "{me:?} leads with another log than the leader before"
            ));
        }
        let has: BTreeSet<u64> = state.iter().copied().collect();
        if has.len() != state.len() {
            self.faults.push(format!("{me:?} has a command twice"));
        }
        if let Some(lost) = self.committed.iter().find(|c| !has.contains(c)) {
            self.faults.push(format!(
                "{me:?} leads without command {lost}, which was told as committed"
            ));
        }
        if let Some(void) = self.void.iter().find(|c| has.contains(c)) {
            self.faults.push(format!(
                "{me:?} leads with command {void}, which was told as void"
            ));
        }
        self.agreed = state;
    }

    /// Who looked whether it holds may act on it for a stall's span, after which the kernel ends it. No other
    /// holds meanwhile.
    pub(super) fn check_holds(&mut self) {
        let now = self.now;
        for at in 0..self.nodes.len() {
            let node = &mut self.nodes[at];
            let until = node.core.as_ref().map_or(0.0, Replica::lease_until);
            if node.core.is_none() {
                node.held = f64::NEG_INFINITY;
            }
            if now * node.rate >= until {
                continue;
            }
            node.held = now;
            let me = node.me;
            if let Some(other) = self
                .nodes
                .iter()
                .find(|o| o.me != me && o.held + STALL > now)
            {
                self.faults
                    .push(format!("{me:?} holds while {:?} may still act", other.me));
            }
        }
    }
}
