//! Wire format of calls and their answers, which is the same in both directions of a connection.

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::call_reply::ReplyGuard;
use super::frame::FrameBatch;
use super::FrameWriter;

/// A call or its answer.
#[derive(Serialize, Deserialize)]
pub(super) struct Envelope<T> {
    /// The number that the caller assigned to the call; the answer has the same number.
    pub(super) call: u64,
    /// The request or the reply.
    pub(super) body: T,
    /// Dropped once the envelope has been written.
    #[serde(skip)]
    pub(super) guard: Option<ReplyGuard>,
}

/// Writes the envelopes from `queue` until the queue or the connection is closed. Envelopes that wait are
/// written together, up to the size of a batch.
pub(super) async fn write_queue<T: Serialize>(
    mut queue: mpsc::Receiver<Envelope<T>>,
    mut writer: FrameWriter,
) {
    while let Some(first) = queue.recv().await {
        let mut batch = FrameBatch::default();
        let mut guards = Vec::new();
        let mut next = Some(first);
        while let Some(mut envelope) = next {
            guards.extend(envelope.guard.take());
            if batch.push(&envelope).is_err() {
                return;
            }
            // Only the frame of a message is needed from here on.
            drop(envelope);
            next = if batch.is_full() {
                None
            } else {
                queue.try_recv().ok()
            };
        }
        if writer.write(batch).await.is_err() {
            return;
        }
    }
}
