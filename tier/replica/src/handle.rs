//! The handle of the local chain member.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

use plankhill_chain::{Member, ViewNumber};
use plankhill_protocol::transport::Connection;

use crate::links::{receive_from, Received};
use crate::state::{CommittedState, ReplicatedState};

/// No answer could be had: this member is cut off, or the time was up. An operation proposed may still be
/// committed later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the chain cannot be reached")]
pub struct Unavailable;

/// The place of a member in the present view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Number of the newest view that this member knows; 0 before the first.
    pub view: ViewNumber,
    /// Whether this member heads the chain of that view and has lately heard that the view is current.
    pub is_head: bool,
    /// Whether this member, with the disk that it has now, is in service.
    pub in_chain: bool,
    /// The chain, head first.
    pub chain: Vec<Member>,
    /// All voters, also those out of service.
    pub voters: Vec<Member>,
}

/// What the handle asks of the member's task.
pub(crate) enum Command<S: ReplicatedState> {
    /// Get an operation committed.
    Propose {
        /// What to commit.
        operation: Box<S::Operation>,
        /// Given up after this long.
        timeout: Duration,
        /// Where the outcome goes; dropped without an answer when there is none.
        answer: oneshot::Sender<S::Outcome>,
    },
    /// Bring the state here up to what was committed when this was asked.
    Read {
        /// Given up after this long.
        timeout: Duration,
        /// Where the state goes.
        answer: oneshot::Sender<Arc<CommittedState<S>>>,
    },
    /// Leave the chain; answered when it goes on without this member.
    Leave {
        /// Dropped when done or given up.
        answer: oneshot::Sender<()>,
    },
    /// The seeds have changed.
    SetSeeds(Vec<SocketAddr>),
}

/// The handle of the local chain member; cheap to clone.
pub struct ReplicaHandle<S: ReplicatedState> {
    pub(crate) commands: mpsc::Sender<Command<S>>,
    pub(crate) received: mpsc::Sender<Received>,
    pub(crate) state: watch::Receiver<Arc<CommittedState<S>>>,
    pub(crate) standing: watch::Receiver<ReplicaStatus>,
    pub(crate) current: watch::Receiver<bool>,
    pub(crate) task: AbortHandle,
    pub(crate) disk_open: watch::Receiver<()>,
}

impl<S: ReplicatedState> Clone for ReplicaHandle<S> {
    fn clone(&self) -> Self {
        Self {
            commands: self.commands.clone(),
            received: self.received.clone(),
            state: self.state.clone(),
            standing: self.standing.clone(),
            current: self.current.clone(),
            task: self.task.clone(),
            disk_open: self.disk_open.clone(),
        }
    }
}

impl<S: ReplicatedState> ReplicaHandle<S> {
    /// Gets an operation committed, from whichever member; resolves with its outcome once every link of the
    /// chain has it on disk. Applied at most once, however often it has to be sent on. Fails at once when this
    /// member knows that it is cut off, otherwise after `timeout`.
    pub async fn propose(
        &self,
        operation: S::Operation,
        timeout: Duration,
    ) -> Result<S::Outcome, Unavailable> {
        let (answer, outcome) = oneshot::channel();
        let operation = Box::new(operation);
        let command = Command::Propose {
            operation,
            timeout,
            answer,
        };
        self.ask(command, outcome).await
    }

    /// The newest committed state known here, replaced whole; it never goes back.
    pub fn state(&self) -> watch::Receiver<Arc<CommittedState<S>>> {
        self.state.clone()
    }

    /// A linearizable read: a state that holds everything that was committed when this was called.
    pub async fn read(&self, timeout: Duration) -> Result<Arc<CommittedState<S>>, Unavailable> {
        let (answer, state) = oneshot::channel();
        let command = Command::Read { timeout, answer };
        self.ask(command, state).await
    }

    /// Whether this member has heard, within a short bound, that the present chain's tail is confirmed by a
    /// majority and that nothing was committed there which is missing here.
    pub fn is_current(&self) -> bool {
        *self.current.borrow()
    }

    /// This member's place in the present view.
    pub fn status(&self) -> ReplicaStatus {
        self.standing.borrow().clone()
    }

    /// The same, to wait for changes.
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.standing.clone()
    }

    /// Whether this member is current, to wait for changes.
    pub fn watch_current(&self) -> watch::Receiver<bool> {
        self.current.clone()
    }

    /// Ends the member at once, as the end of the process would; what was handed to the disk is still written.
    pub fn abort(&self) {
        self.task.abort();
    }

    /// Leaves the chain, for an orderly end; returns when it goes on without this member, or cannot.
    pub async fn leave(&self) {
        let (answer, left) = oneshot::channel();
        let _ = self.ask(Command::Leave { answer }, left).await;
    }

    /// Serves a connection on the chain's channel that another member has opened, until it ends.
    pub async fn serve(&self, connection: Connection) {
        receive_from(connection, self.received.clone()).await;
    }

    /// Takes over other seeds from changed settings.
    pub async fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        // Without the task there is nobody to tell.
        let _ = self.commands.send(Command::SetSeeds(seeds)).await;
    }

    /// Resolves when the member has ended, as it does when its disk fails, and its files are closed. The process
    /// should end then.
    pub async fn ended(&self) {
        self.commands.closed().await;
        while self.disk_open.clone().changed().await.is_ok() {}
    }

    async fn ask<T>(
        &self,
        command: Command<S>,
        answer: oneshot::Receiver<T>,
    ) -> Result<T, Unavailable> {
        self.commands.send(command).await.map_err(|_| Unavailable)?;
        answer.await.map_err(|_| Unavailable)
    }
}
