//! The thread that writes to the disk. All batches that wait during a sync share the next one.
//!
//! Both queues are without a bound: the member hands nothing more to a disk that rejects writes or
//! does not answer, and each batch brings at most one report and the rejections of its attempts.

use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};

use plankhill_chain::{Storage, Ticket, Write};
use plankhill_disk_health::Backoff;
use thiserror::Error;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;

/// Batches that join the first one of a sync.
const MAX_JOINED_BATCHES: usize = 1_024;

/// What the thread reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskReport {
    /// This batch and all before it survive a loss of power.
    Synced(Ticket),
    /// The disk rejects writes, as a full one does; the thread goes on trying, in the same order.
    Rejected,
    /// What lies on the disk cannot be used any more; nothing more will be written.
    Failed,
}

/// A batch of changes on its way to the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteBatch {
    /// Names the batch in [`DiskReport::Synced`].
    pub ticket: Ticket,
    /// The changes, in order.
    pub writes: Vec<Write>,
}

/// The thread has ended, and takes no batch any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the disk writer has stopped")]
pub struct WriterStopped;

/// The owner's end of the thread, which ends when this is dropped and all batches are written.
#[derive(Debug)]
pub struct DiskWriter {
    batches: Sender<WriteBatch>,
    reports: UnboundedReceiver<DiskReport>,
}

impl DiskWriter {
    /// Queues a batch.
    ///
    /// # Errors
    /// [`WriterStopped`] when the thread has ended, as it does when the disk has failed.
    pub fn submit(&self, batch: WriteBatch) -> Result<(), WriterStopped> {
        self.batches.send(batch).map_err(|_| WriterStopped)
    }

    /// The next report; `None` after the last one. May be cancelled without losing a report.
    pub async fn next_report(&mut self) -> Option<DiskReport> {
        self.reports.recv().await
    }
}

/// Starts the thread, which drops `in_use` when the storage is closed. A disk that rejects writes
/// is tried again after the delays of `backoff`.
///
/// # Errors
/// The operating system's, where it has no thread.
pub fn start_writer<S: Storage + Send + 'static>(
    storage: S,
    in_use: watch::Sender<()>,
    backoff: Backoff,
) -> io::Result<DiskWriter> {
    let (batches, queue) = channel();
    let (report_sender, reports) = unbounded_channel();
    let thread = std::thread::Builder::new().name("chain-disk".into());
    thread.spawn(move || {
        run(storage, &queue, &report_sender, backoff);
        drop(in_use);
    })?;
    Ok(DiskWriter { batches, reports })
}

fn run<S: Storage>(
    mut storage: S,
    queue: &Receiver<WriteBatch>,
    reports: &UnboundedSender<DiskReport>,
    backoff: Backoff,
) {
    while let Ok(first) = queue.recv() {
        let batch = join_waiting(first, queue);
        let report = match write_with_retries(&mut storage, &batch.writes, reports, backoff) {
            Ok(()) => DiskReport::Synced(batch.ticket),
            Err(WriterStopped) => DiskReport::Failed,
        };
        if reports.send(report).is_err() || report == DiskReport::Failed {
            return;
        }
    }
}

/// One batch of all that waits, under the ticket of the last.
fn join_waiting(first: WriteBatch, queue: &Receiver<WriteBatch>) -> WriteBatch {
    let mut joined = first;
    for batch in queue.try_iter().take(MAX_JOINED_BATCHES) {
        joined.ticket = batch.ticket;
        joined.writes.extend(batch.writes);
    }
    joined
}

/// Writes the changes, however long the disk rejects them.
fn write_with_retries<S: Storage>(
    storage: &mut S,
    writes: &[Write],
    reports: &UnboundedSender<DiskReport>,
    mut backoff: Backoff,
) -> Result<(), WriterStopped> {
    let Err(mut error) = storage.write(writes) else {
        return Ok(());
    };
    loop {
        if !S::is_transient(&error) {
            tracing::error!(%error, "disk is unusable; the replica stops");
            return Err(WriterStopped);
        }
        tracing::warn!(%error, "disk rejects writes; retrying");
        reports
            .send(DiskReport::Rejected)
            .map_err(|_| WriterStopped)?;
        std::thread::sleep(backoff.next_delay());
        // The changes are written once more from their start: doing so twice comes to the same.
        error = match recover_and_write(storage, writes) {
            Ok(()) => {
                tracing::info!("disk accepts writes again");
                return Ok(());
            }
            Err(error) => error,
        };
    }
}

fn recover_and_write<S: Storage>(storage: &mut S, writes: &[Write]) -> Result<(), S::Error> {
    storage.recover()?;
    storage.write(writes)
}
