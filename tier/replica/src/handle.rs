//! The handle of the local replica, which the rest of the process uses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::transport::Connection;
use thiserror::Error;
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;

use crate::channels::HandleEnds;
use crate::command::Command;
use crate::committed_state::{CommittedState, ReplicatedState};
use crate::peer_connections::receive_from;
use crate::status::ReplicaStatus;

/// There is no answer: this member is partitioned, its disk is not open, or the time was up. An
/// operation proposed may still be committed later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the chain cannot be reached")]
pub struct Unavailable;

/// The handle of the local replica; cheap to clone. The replica ends when the last handle is
/// dropped.
#[derive(Clone)]
pub struct ReplicaHandle<S: ReplicatedState> {
    ends: HandleEnds<S>,
    task: AbortHandle,
}

impl<S: ReplicatedState> ReplicaHandle<S> {
    pub(crate) fn new(ends: HandleEnds<S>, task: AbortHandle) -> Self {
        Self { ends, task }
    }

    /// Gets an operation committed, from whichever member; resolves with its outcome once every
    /// member of the chain has the operation on disk. Applied at most once, however often the
    /// operation has to be sent.
    ///
    /// # Errors
    /// [`Unavailable`], at once when this member knows that it is partitioned, otherwise after
    /// `timeout`.
    pub async fn propose(
        &self,
        operation: S::Operation,
        timeout: Duration,
    ) -> Result<S::Outcome, Unavailable> {
        let (answer, outcome) = oneshot::channel();
        let command = Command::Propose {
            operation: Box::new(operation),
            timeout,
            answer,
        };
        self.ask(command, outcome).await
    }

    /// The newest committed state known here, replaced as a whole; its revision never goes back.
    pub fn state(&self) -> watch::Receiver<Arc<CommittedState<S>>> {
        self.ends.state.clone()
    }

    /// A linearizable read: a state with everything that was committed when this was called.
    ///
    /// # Errors
    /// [`Unavailable`], at once when this member knows that it is partitioned, otherwise after
    /// `timeout`.
    pub async fn read(&self, timeout: Duration) -> Result<Arc<CommittedState<S>>, Unavailable> {
        let (answer, state) = oneshot::channel();
        self.ask(Command::Read { timeout, answer }, state).await
    }

    /// Whether this member knows, within [`plankhill_chain::timing::CONFIRMATION_TTL`] ms, that a
    /// majority confirmed the chain's tail and that nothing was committed there which is missing
    /// here.
    pub fn is_current(&self) -> bool {
        *self.ends.is_current.borrow()
    }

    /// Whether this member is current, to wait for changes.
    pub fn watch_current(&self) -> watch::Receiver<bool> {
        self.ends.is_current.clone()
    }

    /// This member's role in the newest view that it knows.
    pub fn status(&self) -> ReplicaStatus {
        self.ends.status.borrow().clone()
    }

    /// The same, to wait for changes.
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.ends.status.clone()
    }

    /// Ends the replica at once, as the end of the process would; what was handed to the disk is
    /// still written.
    pub fn abort(&self) {
        self.task.abort();
    }

    /// Leaves the chain, for a graceful shutdown; returns when the chain goes on without this
    /// member, or cannot.
    pub async fn leave(&self) {
        let (answer, left) = oneshot::channel();
        // Without an answer there is nothing more to wait for.
        let _ = self.ask(Command::Leave { answer }, left).await;
    }

    /// Serves a connection on the chain's channel that another member has opened, until the
    /// connection ends.
    pub async fn serve(&self, connection: Connection) {
        receive_from(connection, self.ends.inbox.clone()).await;
    }

    /// Takes over other seeds from changed settings.
    pub async fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        // Without the task the seeds are not needed.
        let _ = self.ends.commands.send(Command::SetSeeds(seeds)).await;
    }

    /// Resolves when the replica has ended, as it does when its disk fails, and its files are
    /// closed. The process should end then.
    pub async fn ended(&self) {
        self.ends.commands.closed().await;
        let mut disk_in_use = self.ends.disk_in_use.clone();
        while disk_in_use.changed().await.is_ok() {}
    }

    async fn ask<T>(
        &self,
        command: Command<S>,
        answer: oneshot::Receiver<T>,
    ) -> Result<T, Unavailable> {
        self.ends
            .commands
            .send(command)
            .await
            .map_err(|_| Unavailable)?;
        answer.await.map_err(|_| Unavailable)
    }
}
