//! The thread that writes to the disk. Batches that are queued during a sync are written with the
//! next one (group commit).
//!
//! Both queues are unbounded: the member stops submitting writes while the disk rejects them or does
//! not respond, and each batch causes at most one final report and one rejection per attempt.

use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};

use plankhill_chain::{Storage, Ticket, Write};
use plankhill_disk_health::Backoff;
use thiserror::Error;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;

/// Maximum number of batches that are merged into the first one of a sync.
const MAX_JOINED_BATCHES: usize = 1_024;

/// A report of the thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskReport {
    /// The batch with this ticket and all earlier batches are synced to disk.
    Synced(Ticket),
    /// The disk rejects writes, for example because it is full. The thread retries in the same
    /// order.
    Rejected,
    /// The storage has failed permanently; nothing more is written.
    Failed,
}

/// A batch of changes to be written to the disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteBatch {
    /// Identifies the batch in [`DiskReport::Synced`].
    pub ticket: Ticket,
    /// The changes, in order.
    pub writes: Vec<Write>,
}

/// The thread has ended and accepts no more batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the disk writer has stopped")]
pub struct WriterStopped;

/// The handle of the thread, which ends once the handle is dropped and all batches are written.
#[derive(Debug)]
pub struct DiskWriter {
    batches: Sender<WriteBatch>,
    reports: UnboundedReceiver<DiskReport>,
}

impl DiskWriter {
    /// Queues a batch.
    ///
    /// # Errors
    /// [`WriterStopped`] if the thread has ended, for example after a disk failure.
    pub fn submit(&self, batch: WriteBatch) -> Result<(), WriterStopped> {
        self.batches.send(batch).map_err(|_| WriterStopped)
    }

    /// Returns the next report, or `None` after the last one. Cancel safe: no report is lost.
    pub async fn next_report(&mut self) -> Option<DiskReport> {
        self.reports.recv().await
    }
}

/// Starts the thread, which drops `in_use` once the storage is closed. Writes that the disk rejects
/// are retried with the delays of `backoff`.
///
/// # Errors
/// The error of the operating system if the thread cannot be spawned.
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
        let batch = merge_queued(first, queue);
        let report = match write_with_retries(&mut storage, &batch.writes, reports, backoff) {
            Ok(()) => DiskReport::Synced(batch.ticket),
            Err(WriterStopped) => DiskReport::Failed,
        };
        if reports.send(report).is_err() || report == DiskReport::Failed {
            return;
        }
    }
}

/// Merges all queued batches into one, with the ticket of the last.
fn merge_queued(first: WriteBatch, queue: &Receiver<WriteBatch>) -> WriteBatch {
    let mut joined = first;
    for batch in queue.try_iter().take(MAX_JOINED_BATCHES) {
        joined.ticket = batch.ticket;
        joined.writes.extend(batch.writes);
    }
    joined
}

/// Writes the changes, and retries for as long as the errors are transient.
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
        // All changes are written again from the first one, which is safe because they are
        // idempotent.
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
