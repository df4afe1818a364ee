//! Start and end of this process's leadership of a group, and groups that are empty.

use plankhill_decisions::interface::{EventId, TargetId};
use plankhill_event_log::EventTable;
use plankhill_raft_groups::GroupId;
use plankhill_replication::LeaderRole;

use super::{DeferredAdoption, ReplicatedLog};
use crate::messages::{OutgoingCall, TargetCommand};

impl ReplicatedLog {
    /// Records that this process leads the group, whose table is `table`.
    pub(in crate::event_loop) fn lead(&mut self, group: GroupId, table: EventTable) -> LeaderRole {
        self.tables.insert(group, table);
        let role = self.roles.on_elected(group);
        self.raft.set_own_group(self.roles.own_group());
        role
    }

    /// Records that this process no longer leads the group. A client that waits for an undecided
    /// proposal still gets a response; all other effects that depend on the group are never sent.
    /// Returns the group's table if the group was led.
    pub(in crate::event_loop) fn lose(&mut self, group: GroupId) -> Option<EventTable> {
        let table = self.tables.remove(&group)?;
        let orphaned = &mut self.orphaned_responses;
        // Clients that have disconnected in the meantime are dropped.
        orphaned.retain(|_, waiting| waiting.iter().any(|client| !client.response.is_closed()));
        self.pipeline.abandon_group(group, |number, effects| {
            let lost = effects
                .responses
                .extract_if(.., |pending| pending.group == group);
            orphaned.entry((group, number)).or_default().extend(lost);
        });
        if let Some(migration) = &mut self.migration {
            migration.drop_proposals(group);
        }
        for number in self.proposals.withdraw(group) {
            self.on_discarded((group, number));
        }
        let request = self.roles.on_deposed(group);
        self.raft.set_own_group(self.roles.own_group());
        self.enqueue(request);
        Some(table)
    }

    /// Dissolves adopted groups that have no events and no uncommitted records, and returns them.
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

    /// Queues a committed call, which is sent once this process holds the lease of its groups.
    pub(in crate::event_loop) fn await_lease(&mut self, target: TargetId, call: OutgoingCall) {
        self.awaiting_lease.push((target, call));
    }

    pub(in crate::event_loop) fn take_awaiting_lease(&mut self) -> Vec<(TargetId, OutgoingCall)> {
        std::mem::take(&mut self.awaiting_lease)
    }

    pub(in crate::event_loop) fn has_awaiting_lease(&self) -> bool {
        !self.awaiting_lease.is_empty()
    }

    /// Cancels the calls to the target that wait here: a call without groups ends as not sent.
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

    /// Defers the adoption of an event of the group until the attempt in flight here has ended.
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
