//! Calls and their answers on the wire. Both directions of a connection use the same form.

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::FrameWriter;

/// Most frames that are written together.
const MAX_WRITE_BATCH: usize = 64;

/// One call, or its answer.
#[derive(Serialize, Deserialize)]
pub(super) struct Envelope<T> {
    /// The caller's number of the call; the answer has the same.
    pub(super) call: u64,
    /// The request or the reply.
    pub(super) body: T,
}

/// Writes what comes from `queue` until the queue or the connection is closed.
pub(super) async fn write_queue<T: Serialize>(
    mut queue: mpsc::Receiver<Envelope<T>>,
    mut writer: FrameWriter,
) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_WRITE_BATCH).await > 0 {
        if writer.send_all(&batch).await.is_err() {
            return;
        }
        batch.clear();
    }
}
