//! What a handle asks of the member's task.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::committed_state::{CommittedState, ReplicatedState};

/// A request of a handle. An answer channel that is dropped means that there is no answer.
pub(crate) enum Command<S: ReplicatedState> {
    /// Get an operation committed.
    Propose {
        /// What to commit.
        operation: Box<S::Operation>,
        /// Abandoned after this long.
        timeout: Duration,
        /// Gets the outcome.
        answer: oneshot::Sender<S::Outcome>,
    },
    /// Bring the state here up to what was committed when this was asked.
    Read {
        /// Abandoned after this long.
        timeout: Duration,
        /// Gets the state.
        answer: oneshot::Sender<Arc<CommittedState<S>>>,
    },
    /// Leave the chain.
    Leave {
        /// Answered when the chain goes on without this member.
        answer: oneshot::Sender<()>,
    },
    /// The seeds have changed.
    SetSeeds(Vec<SocketAddr>),
}
