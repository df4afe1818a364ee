//! What is heard of the control group, and said to it: reports of what is wanted, and proposals while it is led
//! from here.

use std::collections::BTreeMap;

use plankhill_connection_quotas::leases::{encode, Command};
use plankhill_raft_groups::{GroupEvent, GroupId, GroupRequest, Purpose};
use slog::{info, warn, Logger};

use super::control::{framed, of_pools};
use super::{now, Budgets};
use crate::ground::Ground;

/// The control group, while it is led from here, and what was proposed and not answered yet.
#[derive(Default)]
pub struct Proposals {
    leads: Option<GroupId>,
    /// Numbers grow by one for each group, over all the times that it is led.
    numbers: BTreeMap<GroupId, u64>,
    open: BTreeMap<(GroupId, u64), Command>,
}

/// As many proposals may be unanswered; at that, none is made.
const MOST_OPEN: usize = 1_024;

impl Budgets {
    pub(super) fn tick(&self, ground: &Ground, log: &Logger) {
        let at = now();
        let surplus = self.local.borrow().surplus(at);
        surplus
            .iter()
            .for_each(|(pool, surplus)| self.close(pool, *surplus));
        let waited_for: Vec<_> = self.waiting.borrow().keys().cloned().collect();
        waited_for.iter().for_each(|pool| self.wake(pool));
        let report = self.local.borrow_mut().report(at);
        if let Some(body) = report {
            // Lost, it is made again with the next renewal.
            let _ = ground.order(GroupRequest::Report { body });
        }
        let due = self.local.borrow_mut().due(at);
        due.into_iter()
            .for_each(|command| self.propose(ground, log, command));
    }

    /// News of the control group; others change nothing.
    pub fn news(&self, ground: &Ground, log: &Logger, news: &GroupEvent) {
        let at = now();
        match news {
            GroupEvent::Elected {
                group,
                purpose: Purpose::Control,
                term,
                state,
            } => {
                info!(log, "gives the parts of pools"; "term" => term.0);
                self.proposals.borrow_mut().leads = Some(*group);
                self.local.borrow_mut().leads(at, term.0, state);
            }
            GroupEvent::Deposed { group } if self.proposals.borrow().leads == Some(*group) => {
                info!(log, "gives the parts of pools no more");
                self.proposals.borrow_mut().leads = None;
                self.local.borrow_mut().deposed();
            }
            GroupEvent::Committed { group, number } => {
                self.proposals.borrow_mut().open.remove(&(*group, *number));
            }
            GroupEvent::Discarded { group, number } => {
                let void = self.proposals.borrow_mut().open.remove(&(*group, *number));
                void.iter()
                    .for_each(|command| self.local.borrow_mut().void(command));
            }
            GroupEvent::Applied { term, command, .. } => {
                if let Some(command) = of_pools(command) {
                    self.local.borrow_mut().applied(at, term.0, command);
                }
            }
            GroupEvent::SnapshotInstalled { state } => self.local.borrow_mut().replaced(state),
            GroupEvent::ReportReceived { body, .. } => {
                let command = self.local.borrow_mut().reported(at, body);
                command
                    .into_iter()
                    .for_each(|command| self.propose(ground, log, command));
            }
            GroupEvent::Elected { .. }
            | GroupEvent::Deposed { .. }
            | GroupEvent::PeerChanged { .. } => (),
        }
    }

    fn propose(&self, ground: &Ground, log: &Logger, command: Command) {
        let mut proposals = self.proposals.borrow_mut();
        let Some(group) = proposals.leads.filter(|_| proposals.open.len() < MOST_OPEN) else {
            return self.local.borrow_mut().void(&command);
        };
        if proposals.open.values().any(|open| *open == command) {
            // It is on its way.
            return;
        }
        let number = proposals.numbers.get(&group).copied().unwrap_or(0) + 1;
        let body = framed(encode(&command));
        if ground
            .order(GroupRequest::Propose {
                group,
                number,
                command: body,
            })
            .is_err()
        {
            warn!(log, "the fleet's ring is full: parts of pools come later");
            return self.local.borrow_mut().void(&command);
        }
        proposals.numbers.insert(group, number);
        proposals.open.insert((group, number), command);
    }
}
