//! The calls of one request to several stores whose outcomes have not been read yet.

use plankhill_protocol::store_calls::StoreReply;
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

/// Capacity of the outcome channel; further calls wait until an outcome is read.
const MAX_QUEUED_OUTCOMES: usize = 64;

/// The outcome of a call: the reply, or None if the store failed or its reply was not conclusive.
pub(crate) type CallOutcome = Option<StoreReply>;

/// The result of waiting for the next outcome.
pub(crate) enum WaitResult {
    Outcome(CallOutcome),
    TimedOut,
}

/// Owns the channel from the calls to the request that started them.
pub(crate) struct InFlight {
    sender: mpsc::Sender<CallOutcome>,
    outcomes: mpsc::Receiver<CallOutcome>,
    unread: usize,
}

impl InFlight {
    pub(crate) fn new() -> Self {
        let (sender, outcomes) = mpsc::channel(MAX_QUEUED_OUTCOMES);
        InFlight {
            sender,
            outcomes,
            unread: 0,
        }
    }

    /// Counts one more call, which must send exactly one outcome to the returned sender.
    pub(crate) fn begin(&mut self) -> mpsc::Sender<CallOutcome> {
        self.unread += 1;
        self.sender.clone()
    }

    /// Returns whether every call's outcome has been read.
    pub(crate) fn is_empty(&self) -> bool {
        self.unread == 0
    }

    /// Waits for the next outcome until `deadline`.
    pub(crate) async fn next(&mut self, deadline: Instant) -> WaitResult {
        match timeout_at(deadline, self.outcomes.recv()).await {
            Ok(Some(outcome)) => {
                self.unread -= 1;
                WaitResult::Outcome(outcome)
            }
            // The channel cannot close, because this struct owns a sender.
            Ok(None) | Err(_) => WaitResult::TimedOut,
        }
    }
}
