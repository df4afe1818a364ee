//! The handle through which the process uses the local replica.

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

/// The call failed because this member is partitioned, its disk is not open, or the timeout expired.
/// A proposed operation may still be committed later.
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

    /// Proposes an operation; any member accepts proposals. Returns the outcome once every member of
    /// the chain has the operation on disk. The operation is applied at most once, even if the
    /// proposal has to be resent.
    ///
    /// # Errors
    /// [`Unavailable`], immediately if this member has detected that it is partitioned, otherwise
    /// after `timeout`.
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
        self.send_command(command, outcome).await
    }

    /// Subscribes to the newest committed state of this member. Its revision never decreases.
    pub fn state(&self) -> watch::Receiver<Arc<CommittedState<S>>> {
        self.ends.state.clone()
    }

    /// Performs a linearizable read: returns a state that contains every operation committed before
    /// the call.
    ///
    /// # Errors
    /// [`Unavailable`], immediately if this member has detected that it is partitioned, otherwise
    /// after `timeout`.
    pub async fn read(&self, timeout: Duration) -> Result<Arc<CommittedState<S>>, Unavailable> {
        let (answer, state) = oneshot::channel();
        self.send_command(Command::Read { timeout, answer }, state)
            .await
    }

    /// Returns whether the newest confirmation of this member's view is younger than
    /// [`plankhill_chain::timing::CONFIRMATION_TTL`] ms: a majority confirmed the chain's tail, and
    /// this member has every operation committed there at that time.
    pub fn is_current(&self) -> bool {
        *self.ends.is_current.borrow()
    }

    /// Subscribes to changes of [`ReplicaHandle::is_current`].
    pub fn watch_current(&self) -> watch::Receiver<bool> {
        self.ends.is_current.clone()
    }

    /// Returns the role of this member in its newest view.
    pub fn status(&self) -> ReplicaStatus {
        self.ends.status.borrow().clone()
    }

    /// Subscribes to changes of [`ReplicaHandle::status`].
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.ends.status.clone()
    }

    /// Stops the replica immediately, like a process crash. Writes already submitted to the disk
    /// writer still complete.
    pub fn abort(&self) {
        self.task.abort();
    }

    /// Leaves the chain, for a graceful shutdown. Returns once this member is no longer part of the
    /// chain, or if it cannot leave.
    pub async fn leave(&self) {
        let (answer, left) = oneshot::channel();
        // The call fails if the replica has ended or its disk is not open. There is nothing to
        // wait for in either case.
        let _ = self.send_command(Command::Leave { answer }, left).await;
    }

    /// Receives messages from a connection that another member opened on the chain channel, until
    /// the connection ends.
    pub async fn serve(&self, connection: Connection) {
        receive_from(connection, self.ends.inbox.clone()).await;
    }

    /// Replaces the seed addresses after a change of the settings.
    pub async fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        // The send fails only after the task has ended, when the seeds are no longer needed.
        let _ = self.ends.commands.send(Command::SetSeeds(seeds)).await;
    }

    /// Waits until the replica has ended, for example after a disk failure, and its files are
    /// closed. The process should exit then.
    pub async fn ended(&self) {
        self.ends.commands.closed().await;
        let mut disk_in_use = self.ends.disk_in_use.clone();
        while disk_in_use.changed().await.is_ok() {}
    }

    async fn send_command<T>(
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
