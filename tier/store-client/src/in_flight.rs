//! The calls of one request to several stores whose outcomes have not been read.

use plankhill_protocol::store_calls::StoreReply;
use tokio::sync::mpsc;
use tokio::time::{timeout_at, Instant};

/// Outcomes that wait to be read; a call beyond waits until one is.
const MAX_QUEUED_OUTCOMES: usize = 64;

/// The outcome of a call: the reply, or None if the store failed or could not tell.
pub(crate) type CallOutcome = Option<StoreReply>;

/// What came of waiting for an outcome.
pub(crate) enum Waited {
    Outcome(CallOutcome),
    TimedOut,
}

/// Owns the channel from the calls to the request that began them.
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

    /// Counts one more call, which sends its one outcome to the returned sender.
    pub(crate) fn begin(&mut self) -> mpsc::Sender<CallOutcome> {
        self.unread += 1;
        self.sender.clone()
    }

    /// Whether every call's outcome was read.
    pub(crate) fn is_empty(&self) -> bool {
        self.unread == 0
    }

    /// Waits for the next outcome until `deadline`.
    pub(crate) async fn next(&mut self, deadline: Instant) -> Waited {
        match timeout_at(deadline, self.outcomes.recv()).await {
            Ok(Some(outcome)) => {
                self.unread -= 1;
                Waited::Outcome(outcome)
            }
            // The channel does not close: this struct has a sender.
            Ok(None) | Err(_) => Waited::TimedOut,
        }
    }
}
