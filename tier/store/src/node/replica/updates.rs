//! Writes of a replica: reservations, updates of turns, extensions. Each write is merged in memory before
//! its rows are passed to the storage, and answered once they are synced.

use plankhill_conversations::peer::{PeerResponse, TurnUpdate};
use plankhill_protocol::ids::{ProgramId, RequestId};

use crate::clock::Clock;
use crate::node::state::UpdateBatch;
use crate::node::Node;
use crate::peers::Peers;
use crate::storage::{Storage, StorageError};

/// An extension of the retention of a turn and its ancestors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::node) struct RetentionExtension {
    pub(in crate::node) turn: RequestId,
    /// The retention time from now on, in milliseconds.
    pub(in crate::node) retention_ms: u64,
}

impl<P: Peers, S: Storage, C: Clock> Node<P, S, C> {
    /// Adds a reservation to the program's account. Once the reservation is synced, replies with the account
    /// as of that time.
    pub(super) async fn reserve_locally(
        &self,
        program: &ProgramId,
        turn: &RequestId,
        max_tokens: u64,
        previous: Option<&RequestId>,
    ) -> PeerResponse {
        let now_ms = self.now_ms();
        let reserved = self
            .turns
            .borrow_mut()
            .reserve(program, turn, max_tokens, previous, now_ms);
        let Ok(changes) = reserved else {
            return PeerResponse::Unavailable;
        };
        if self.rows.commit(changes).await.is_err() {
            return PeerResponse::Unavailable;
        }
        let account = self.turns.borrow().account(program).cloned();
        PeerResponse::Account(account.unwrap_or_default())
    }

    /// Merges updates of turns, and replies once all of them are synced.
    pub(in crate::node) async fn merge_updates(&self, updates: Vec<TurnUpdate>) -> PeerResponse {
        let mut batch = UpdateBatch::default();
        for update in updates {
            let merged = self
                .turns
                .borrow_mut()
                .merge(update, self.now_ms(), &mut batch);
            if merged.is_err() {
                tracing::warn!("turn rejected: storage capacity exhausted");
                // The updates merged so far are still written; the reply does not depend on the outcome.
                let _ = self.write_batch(batch).await;
                return PeerResponse::Unavailable;
            }
        }
        match self.write_batch(batch).await {
            Ok(()) => PeerResponse::Done,
            Err(_) => PeerResponse::Unavailable,
        }
    }

    /// Writes a batch. A batch without rows is committed too: its commit ends after the earlier ones, which
    /// may contain the rows of updates that had already been merged.
    async fn write_batch(&self, mut batch: UpdateBatch) -> Result<(), StorageError> {
        let outcome = self.rows.commit(batch.take_changes()).await;
        let mut turns = self.turns.borrow_mut();
        match outcome {
            Ok(()) => turns.batch_written(batch),
            Err(_) => turns.batch_failed(batch),
        }
        outcome
    }

    /// Retains turns and their ancestors for at least the given times, and replies once the extensions are
    /// synced.
    pub(in crate::node) async fn extend_locally(
        &self,
        extensions: Vec<RetentionExtension>,
    ) -> PeerResponse {
        let now_ms = self.now_ms();
        let mut changes = Vec::with_capacity(extensions.len());
        for extension in extensions {
            let until_ms = now_ms.saturating_add(extension.retention_ms);
            let mut turns = self.turns.borrow_mut();
            changes.push(turns.extend(&extension.turn, until_ms));
        }
        match self.rows.commit(changes).await {
            Ok(()) => PeerResponse::Done,
            Err(_) => PeerResponse::Unavailable,
        }
    }
}
