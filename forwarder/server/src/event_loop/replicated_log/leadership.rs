//! Groups that this process comes to lead, leads no more, or has emptied.

use plankhill_decisions::interface::{EventId, TargetId};
use plankhill_event_log::EventTable;
use plankhill_raft_groups::GroupId;
use plankhill_replication::LeaderRole;

use super::{DeferredAdoption, ReplicatedLog};
use crate::messages::{OutgoingCall, TargetCommand};

impl ReplicatedLog {
    /// This process leads the group, whose table is `table`.
    pub(in crate::event_loop) fn lead(&mut self, group: GroupId, table: EventTable) -> LeaderRole {
        self.tables.insert(group, table);
        let role = self.roles.on_elected(group);
        self.raft.set_own_group(self.roles.own_group());
        role
    }

    /// The group is led no more. A client that waits for an undecided proposal is still answered; all other effects
    /// that depend on the group never leave. Returns the group's table, if it was led.
    pub(in crate::event_loop) fn lose(&mut self, group: GroupId) -> Option<EventTable> {
        let table = self.tables.remove(&group)?;
        let orphaned = &mut self.orphaned_responses;
        // Clients that have gone meanwhile are dropped.
        orphaned.retain(|_, waiting| waiting.iter().any(|client| !client.response.is_closed()));
        self.pipeline.abandon_group(group, |number, effects| {
            let lost = effects
                .responses
                .extract_if(.., |pending| pending.group == group);
            orphaned.entry((group, number)).or_default().extend(lost);
        });
        if let Some(migration) = &mut self.migration {
            migration.forget_proposals(group);
        }
        for number in self.proposals.withdraw(group) {
            self.on_discarded((group, number));
        }
        let request = self.roles.on_deposed(group);
        self.raft.set_own_group(self.roles.own_group());
        self.enqueue(request);
        Some(table)
    }

    /// Dissolves adopted groups in which nothing is left, and returns them.
    pub(in crate::event_loop) fn dissolve_empty_groups(&mut self) -> Vec<GroupId> {
        let own = self.roles.own_group();
        let mut empty = Vec::new();
        for (group, table) in &self.tables {
            let is_empty = table.is_empty() && table.unwritten_frames().is_empty();
            if Some(*group) != own && is_empty && !self.pipeline.awaits_group(*group) {
                empty.push(*group);
            }
        }
        for group in &empty {
            self.tables.remove(group);
            let request = self.roles.on_group_emptied(*group);
            self.enqueue(request);
        }
        empty
    }

    /// A committed call, which leaves once this process holds the lease of its groups.
    pub(in crate::event_loop) fn await_lease(&mut self, target: TargetId, call: OutgoingCall) {
        self.awaiting_lease.push((target, call));
    }

    pub(in crate::event_loop) fn take_awaiting_lease(&mut self) -> Vec<(TargetId, OutgoingCall)> {
        std::mem::take(&mut self.awaiting_lease)
    }

    pub(in crate::event_loop) fn has_awaiting_lease(&self) -> bool {
        !self.awaiting_lease.is_empty()
    }

    /// Calls to the target that wait here are not to leave: without a group they end as not sent.
    pub(in crate::event_loop) fn cancel_calls_to(&mut self, target: &TargetId) {
        for (to, call) in &mut self.awaiting_lease {
            if to == target {
                call.groups.clear();
            }
        }
        for effects in self.pipeline.pending_effects() {
            for queued in &mut effects.commands {
                if let TargetCommand::Call(call) = &mut queued.command {
                    if queued.target == *target {
                        call.groups.clear();
                    }
                }
            }
        }
    }

    /// An event of the group that is adopted once the attempt in flight here has ended.
    pub(in crate::event_loop) fn defer_adoption(&mut self, group: GroupId, event: EventId) {
        self.deferred_adoptions
            .push(DeferredAdoption { group, event });
    }

    pub(in crate::event_loop) fn drop_deferred_adoptions(&mut self, group: GroupId) {
        self.deferred_adoptions
            .retain(|deferred| deferred.group != group);
    }

    pub(in crate::event_loop) fn take_deferred_adoptions(
        &mut self,
        event: &EventId,
    ) -> Vec<DeferredAdoption> {
        self.deferred_adoptions
            .extract_if(.., |deferred| deferred.event == *event)
            .collect()
    }
}
