//! Commands that handles send to the task of the chain member.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::committed_state::{CommittedState, ReplicatedState};

/// A command of a handle. A dropped answer channel means that the command failed.
pub(crate) enum Command<S: ReplicatedState> {
    /// Propose an operation.
    Propose {
        /// The operation.
        operation: Box<S::Operation>,
        /// The command is abandoned after this time.
        timeout: Duration,
        /// Receives the outcome.
        answer: oneshot::Sender<S::Outcome>,
    },
    /// Perform a linearizable read.
    Read {
        /// The command is abandoned after this time.
        timeout: Duration,
        /// Receives a state that contains every operation committed before the command was issued.
        answer: oneshot::Sender<Arc<CommittedState<S>>>,
    },
    /// Leave the chain.
    Leave {
        /// Answered once this member is no longer part of the chain.
        answer: oneshot::Sender<()>,
    },
    /// Replace the seed addresses.
    SetSeeds(Vec<SocketAddr>),
}
