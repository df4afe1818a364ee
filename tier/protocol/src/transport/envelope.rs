//! Wire format of calls and their answers, which is the same in both directions of a connection.

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::FrameWriter;

/// Maximum number of frames in one write.
const MAX_WRITE_BATCH: usize = 64;

/// A call or its answer.
#[derive(Serialize, Deserialize)]
pub(super) struct Envelope<T> {
    /// The number that the caller assigned to the call; the answer has the same number.
    pub(super) call: u64,
    /// The request or the reply.
    pub(super) body: T,
}

/// Writes the envelopes from `queue` until the queue or the connection is closed.
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
