//! Support for tests that explore all states of a chain.

use crate::age::{age_of, remaining};
use crate::state_machine::StateMachine;

use super::ChainMember;

impl<M: StateMachine> ChainMember<M> {
    /// Canonical form of the state that determines the behaviour of this member, with times
    /// replaced by ages. The form omits numbers that only identify things (heartbeats, batches),
    /// random numbers, and the send times of own heartbeats: members with the same canonical state
    /// react in the same way to the same inputs, except for the length of a random backoff and for
    /// whether an old echo still counts.
    pub fn canonical_state(&self) -> String {
        let now = self.now;
        let durability = (
            self.log.persisted(),
            self.outbox.is_synced(self.acceptor_ticket),
            self.outbox.pending_actions(),
            &self.availability,
        );
        let log = (self.log.log(), self.log.committed());
        let agreement = (&self.view, &self.acceptor, self.proposer.with_ages(now));
        let peers = self.failure_detector.with_ages(now);
        let replication = (self.successor.with_ages(now), self.catch_up.with_ages(now));
        let requests = (
            self.proposals.with_ages(now),
            self.reads.with_ages(now),
            self.read_confirmation.with_ages(now),
        );
        let disks = (
            self.outbox.sync_times(),
            age_of(self.outbox.sync_started_at(), now),
            self.slow_disks.with_ages(now),
        );
        let freshness = self.freshness.with_ages(now);
        let heartbeat_due_in = remaining(self.heartbeat_schedule.next_at(), now);
        format!(
            "{agreement:?} {log:?} {durability:?} {peers:?} {replication:?} {requests:?} {disks:?} \
             {freshness:?} {heartbeat_due_in}"
        )
    }

    /// Sequence number of the newest heartbeat that this member has sent, which peers echo.
    pub fn last_heartbeat_sequence(&self) -> u64 {
        self.heartbeat_schedule.last_sequence()
    }
}
