//! Handles the events of the control group, and sends requests to it: reports of this instance's
//! demand, and proposals while this process leads the group.

use std::collections::BTreeMap;

use plankhill_connection_quotas::leases::{encode, Command};
use plankhill_raft_groups::{GroupEvent, GroupId, GroupRequest, Purpose};
use slog::{info, warn, Logger};

use super::control::{tag_command, untag_command};
use super::{now, ConnectionQuotas};
use crate::raft::RaftHandle;

/// Limit of undecided proposals; at the limit no further proposal is made.
const MAX_UNDECIDED_PROPOSALS: usize = 1_024;

/// Proposals to the control group.
#[derive(Default)]
pub struct Proposals {
    /// The control group while this process leads it.
    led_group: Option<GroupId>,
    /// Number of the last proposal to each group. Numbers grow by one, across all terms in which
    /// this process leads the group.
    last_numbers: BTreeMap<GroupId, u64>,
    undecided: BTreeMap<(GroupId, u64), Command>,
}

impl ConnectionQuotas {
    pub(super) fn tick(&self, raft: &RaftHandle, log: &Logger) {
        let at = now();
        let surplus = self.local.borrow().surplus(at);
        for (pool, surplus) in &surplus {
            self.close_idle(pool, *surplus);
        }
        let awaited_pools: Vec<_> = self.waiting.borrow().keys().cloned().collect();
        for pool in &awaited_pools {
            self.wake_first(pool);
        }
        let report = self.local.borrow_mut().report(at);
        if let Some(body) = report {
            // A lost report is repeated at the next renewal.
            let _ = raft.request(GroupRequest::Report { body });
        }
        let due = self.local.borrow_mut().due_commands(at);
        for command in due {
            self.propose(raft, log, command);
        }
    }

    /// Handles an event of the Raft groups. Events of groups other than the control group change
    /// nothing.
    pub fn on_group_event(&self, raft: &RaftHandle, log: &Logger, event: &GroupEvent) {
        let at = now();
        match event {
            GroupEvent::Elected {
                group,
                purpose: Purpose::Control,
                term,
                state,
            } => {
                info!(log, "connection quotas: leads the control group"; "term" => term.0);
                self.proposals.borrow_mut().led_group = Some(*group);
                self.local.borrow_mut().became_leader(at, term.0, state);
            }
            GroupEvent::Deposed { group } => {
                if self.proposals.borrow().led_group == Some(*group) {
                    info!(log, "connection quotas: leads the control group no more");
                    self.proposals.borrow_mut().led_group = None;
                    self.local.borrow_mut().deposed();
                }
            }
            GroupEvent::Committed { group, number } => {
                self.proposals
                    .borrow_mut()
                    .undecided
                    .remove(&(*group, *number));
            }
            GroupEvent::Discarded { group, number } => {
                let discarded = self
                    .proposals
                    .borrow_mut()
                    .undecided
                    .remove(&(*group, *number));
                if let Some(command) = discarded {
                    self.local.borrow_mut().proposal_discarded(&command);
                }
            }
            GroupEvent::Applied { term, command, .. } => {
                if let Some(command) = untag_command(command) {
                    self.local.borrow_mut().applied(at, term.0, command);
                }
            }
            GroupEvent::SnapshotInstalled { state } => {
                self.local.borrow_mut().snapshot_installed(state)
            }
            GroupEvent::ReportReceived { body, .. } => {
                let command = self.local.borrow_mut().reported(at, body);
                if let Some(command) = command {
                    self.propose(raft, log, command);
                }
            }
            GroupEvent::Elected { .. } | GroupEvent::PeerChanged { .. } => (),
        }
    }

    fn propose(&self, raft: &RaftHandle, log: &Logger, command: Command) {
        let mut proposals = self.proposals.borrow_mut();
        let has_room = proposals.undecided.len() < MAX_UNDECIDED_PROPOSALS;
        let Some(group) = proposals.led_group.filter(|_| has_room) else {
            self.local.borrow_mut().proposal_discarded(&command);
            return;
        };
        if proposals
            .undecided
            .values()
            .any(|undecided| *undecided == command)
        {
            return;
        }
        let number = proposals.last_numbers.get(&group).copied().unwrap_or(0) + 1;
        let tagged = tag_command(encode(&command));
        let request = GroupRequest::Propose {
            group,
            number,
            command: tagged,
        };
        if raft.request(request).is_err() {
            warn!(
                log,
                "connection quotas: the group's ring is full, lease delayed"
            );
            self.local.borrow_mut().proposal_discarded(&command);
            return;
        }
        proposals.last_numbers.insert(group, number);
        proposals.undecided.insert((group, number), command);
    }
}
