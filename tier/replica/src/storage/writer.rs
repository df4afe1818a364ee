//! The thread that writes. All batches that wait during a sync share the next one.

use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};

use plankhill_chain::{Storage, Ticket, Write};
use plankhill_disk_health::Backoff;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Batches in one sync.
const MOST_TOGETHER: usize = 1_024;

/// What the thread tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// This batch and all before it survive a loss of power.
    Synced(Ticket),
    /// The disk refuses to write, as a full one does; it goes on being tried, in the same order.
    Refused,
    /// What lies on the disk cannot be used any more; nothing more will be written.
    Failed,
}

/// A batch on its way to the disk.
pub type Batch = (Ticket, Vec<Write>);

/// Starts the thread; it ends when the sender is dropped, and drops `in_use` when the storage is closed. A disk that
/// refuses to write is tried again after these pauses.
///
/// # Errors
/// The operating system's, where it has no thread.
pub fn start_writer<S: Storage + Send + 'static>(
    storage: S,
    report: UnboundedSender<Written>,
    in_use: watch::Sender<()>,
    pauses: Backoff,
) -> io::Result<Sender<Batch>> {
    let (batches, queue) = channel();
    let thread = std::thread::Builder::new().name("chain-disk".into());
    thread.spawn(move || {
        run(storage, &queue, &report, pauses);
        drop(in_use);
    })?;
    Ok(batches)
}

fn run<S: Storage>(
    mut storage: S,
    queue: &Receiver<Batch>,
    report: &UnboundedSender<Written>,
    pauses: Backoff,
) {
    while let Ok((mut ticket, mut writes)) = queue.recv() {
        for (later, more) in queue.try_iter().take(MOST_TOGETHER) {
            ticket = later;
            writes.extend(more);
        }
        let written = match write_in_the_end(&mut storage, &writes, report, pauses) {
            Ok(()) => Written::Synced(ticket),
            Err(Abandoned) => Written::Failed,
        };
        if report.send(written).is_err() || matches!(written, Written::Failed) {
            return;
        }
    }
}

/// The disk is of no use any more, or nobody waits for it.
struct Abandoned;

/// Writes the changes, however long the disk refuses them.
fn write_in_the_end<S: Storage>(
    storage: &mut S,
    writes: &[Write],
    report: &UnboundedSender<Written>,
    mut pauses: Backoff,
) -> Result<(), Abandoned> {
    let Err(mut error) = storage.write(writes) else {
        return Ok(());
    };
    loop {
        if !S::may_pass(&error) {
            tracing::error!(%error, "the disk is of no use any more");
            return Err(Abandoned);
        }
        tracing::warn!(%error, "the disk refuses to write");
        report.send(Written::Refused).map_err(|_| Abandoned)?;
        std::thread::sleep(pauses.next_delay());
        // The changes are written once more from their start: doing so twice comes to the same.
        error = match storage.recover().and_then(|()| storage.write(writes)) {
            Ok(()) => {
                tracing::info!("the disk writes again");
                return Ok(());
            }
            Err(error) => error,
        };
    }
}
