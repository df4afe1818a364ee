//! Queues of effects for the driver and of actions that run once a batch of writes is synced.
//!
//! The driver takes the effects after each call to the member and reports synced batches.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::effect::{Effect, LogPosition, Millis, Ticket};
use crate::message::Message;
use crate::storage::Write;
use crate::sync_times::SyncTimes;
use crate::vote::Vote;

/// Action to take once a batch of writes is synced.
#[derive(Clone, Debug)]
pub(crate) enum AfterSync {
    /// No action.
    Nothing,
    /// Send the message.
    Send(SocketAddr, Message),
    /// Count a vote of this member in its own attempt.
    CountVote(Vote),
    /// Record that operations up to this position are on disk.
    Appended(LogPosition),
    /// Record that a new view is on disk, with operations up to this position.
    ViewAdopted(LogPosition),
}

/// A batch of writes that the driver has not reported as synced.
#[derive(Clone, Debug)]
struct PendingBatch {
    ticket: Ticket,
    submitted_at: Millis,
    after: AfterSync,
}

/// Effects and pending batches of one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outbox {
    effects: Vec<Effect>,
    last_ticket: Ticket,
    pending_batches: VecDeque<PendingBatch>,
    /// Time at which the last sync ended.
    synced_at: Millis,
    sync_times: SyncTimes,
}

impl Outbox {
    /// Queues an effect.
    pub(crate) fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Queues a message.
    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        self.push(Effect::Send { to, message });
    }

    /// Queues a batch of writes and the action to take once the batch is synced.
    pub(crate) fn persist(&mut self, writes: Vec<Write>, after: AfterSync, now: Millis) -> Ticket {
        self.last_ticket.0 += 1;
        let ticket = self.last_ticket;
        self.pending_batches.push_back(PendingBatch {
            ticket,
            submitted_at: now,
            after,
        });
        self.push(Effect::Persist { ticket, writes });
        ticket
    }

    /// Removes and returns all queued effects, in order.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Records the end of a sync. A sync covers all batches that were pending when it began, so it
    /// began when the oldest of them was submitted or when the previous sync ended, whichever is
    /// later.
    pub(crate) fn record_sync(&mut self, now: Millis) {
        if let Some(since) = self.sync_started_at() {
            self.sync_times.record(now.saturating_sub(since));
        }
        self.synced_at = now;
    }

    /// Removes the oldest pending batch if it is synced, and returns its action.
    pub(crate) fn pop_synced(&mut self, ticket: Ticket) -> Option<AfterSync> {
        if self.pending_batches.front()?.ticket > ticket {
            return None;
        }
        let batch = self.pending_batches.pop_front()?;
        Some(batch.after)
    }

    /// Actions of the pending batches, in order.
    pub(crate) fn pending_actions(&self) -> Vec<&AfterSync> {
        self.pending_batches
            .iter()
            .map(|batch| &batch.after)
            .collect()
    }

    /// Time at which the sync in progress began; `None` if no batch is pending.
    pub(crate) fn sync_started_at(&self) -> Option<Millis> {
        let oldest = self.pending_batches.front()?;
        Some(oldest.submitted_at.max(self.synced_at))
    }

    /// Returns whether a batch of this process is synced. Ticket 0 represents the state loaded at
    /// the start of the process.
    pub(crate) fn is_synced(&self, ticket: Ticket) -> bool {
        match self.pending_batches.front() {
            Some(oldest) => ticket < oldest.ticket,
            None => true,
        }
    }

    /// Durations of the most recent syncs.
    pub(crate) fn sync_times(&self) -> &SyncTimes {
        &self.sync_times
    }

    /// Median duration of the most recent syncs; `None` before the first.
    pub(crate) fn sync_time(&self) -> Option<Millis> {
        self.sync_times.median()
    }

    /// Time since the last sync ended; 0 while a batch is pending.
    pub(crate) fn idle_for(&self, now: Millis) -> Millis {
        match self.pending_batches.is_empty() {
            true => now.saturating_sub(self.synced_at),
            false => 0,
        }
    }
}
