//! The thread that writes. All batches that wait during a sync share the next one.

use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};

use plankhill_chain::{Storage, Ticket, Write};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Batches in one sync.
const MOST_TOGETHER: usize = 1_024;

/// What the thread tells.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Written {
    /// This batch and all before it survive a loss of power.
    Synced(Ticket),
    /// Writing has failed; nothing more will be written.
    Failed,
}

/// A batch on its way to the disk.
type Batch = (Ticket, Vec<Write>);

/// Starts the thread; it ends when the sender is dropped. The receiver closes when the storage is closed.
pub(crate) fn start_writer<S: Storage + Send + 'static>(
    storage: S,
    report: UnboundedSender<Written>,
) -> io::Result<(Sender<Batch>, watch::Receiver<()>)> {
    let (batches, queue) = channel();
    let (open, closed) = watch::channel(());
    let thread = std::thread::Builder::new().name("chain-disk".into());
    thread.spawn(move || {
        run(storage, &queue, &report);
        drop(open);
    })?;
    Ok((batches, closed))
}

fn run<S: Storage>(mut storage: S, queue: &Receiver<Batch>, report: &UnboundedSender<Written>) {
    while let Ok((mut ticket, mut writes)) = queue.recv() {
        for (later, more) in queue.try_iter().take(MOST_TOGETHER) {
            ticket = later;
            writes.extend(more);
        }
        let outcome = storage.write(&writes);
        if let Err(error) = &outcome {
            tracing::error!(%error, "writing failed");
        }
        let failed = outcome.is_err();
        let written = if failed { Written::Failed } else { Written::Synced(ticket) };
        if report.send(written).is_err() || failed {
            return;
        }
    }
}
