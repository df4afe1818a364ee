//! Completion notices on their way from the scheduler to the notifier, and the count of those that
//! the platform has not acknowledged. Owned by the scheduler's host.

use std::collections::VecDeque;
use std::vec::Drain;

use async_channel::Sender;
use slog::{info, Logger};

use crate::messages::CompletionNotice;

pub(super) struct NoticeQueue {
    to_notifier: Sender<CompletionNotice>,
    /// Notices of this iteration, whose outcomes are not in the log yet.
    staged: Vec<CompletionNotice>,
    /// Committed notices that the notifier's mailbox had no room for.
    deferred: VecDeque<CompletionNotice>,
    unacknowledged: usize,
}

impl NoticeQueue {
    pub(super) fn new(to_notifier: Sender<CompletionNotice>) -> Self {
        NoticeQueue {
            to_notifier,
            staged: Vec::new(),
            deferred: VecDeque::new(),
            unacknowledged: 0,
        }
    }

    pub(super) fn stage(&mut self, notice: CompletionNotice) {
        self.staged.push(notice);
    }

    /// Number of notices of this iteration.
    pub(super) fn staged(&self) -> usize {
        self.staged.len()
    }

    /// Number of notices that are no longer staged and not acknowledged yet.
    pub(super) fn unacknowledged(&self) -> usize {
        self.unacknowledged
    }

    /// Takes the notices of this iteration and counts them as unacknowledged from here on, since
    /// admission limits the sum of unacknowledged notices and pending events.
    pub(super) fn take_staged(&mut self) -> Drain<'_, CompletionNotice> {
        self.unacknowledged += self.staged.len();
        self.staged.drain(..)
    }

    /// Passes the notices of this iteration to the notifier. The mailbox has room for them:
    /// admission accepts fewer events than the mailbox can contain.
    pub(super) fn send_staged(&mut self, log: &Logger) {
        for notice in self.staged.drain(..) {
            log_notice(log, &notice);
            self.unacknowledged += 1;
            let _ = self.to_notifier.try_send(notice);
        }
    }

    /// Queues a notice whose outcome is committed.
    pub(super) fn defer(&mut self, log: &Logger, notice: CompletionNotice) {
        log_notice(log, &notice);
        self.deferred.push_back(notice);
    }

    /// Passes committed notices to the notifier, as many as its mailbox takes.
    pub(super) fn send_deferred(&mut self) {
        while let Some(notice) = self.deferred.pop_front() {
            if let Err(full) = self.to_notifier.try_send(notice) {
                self.deferred.push_front(full.into_inner());
                return;
            }
        }
    }

    /// Drops a taken notice without sending it: the event's new owner decides on the outcome.
    pub(super) fn discard(&mut self) {
        self.unacknowledged -= 1;
    }

    /// Records that the platform has acknowledged `count` notices.
    pub(super) fn acknowledge(&mut self, count: usize) {
        self.unacknowledged -= count;
    }
}

fn log_notice(log: &Logger, notice: &CompletionNotice) {
    info!(log, "event not delivered"; "event" => &*notice.event.0, "outcome" => ?notice.outcome);
}
