//! Retries opening a disk that temporarily cannot be opened, for example because it is full. Calls
//! fail immediately until the disk is open.

use std::time::Duration;

use plankhill_disk_health::Backoff;

use crate::channels::TaskEnds;
use crate::command::Command;
use crate::committed_state::ReplicatedState;
use crate::settings::ReplicaSettings;
use crate::start::{new_driver, open_disk};
use crate::storage::{OpenedFolder, StorageError};

/// Retries opening the disk with backoff, then runs the replica.
pub(crate) async fn wait_for_disk<S: ReplicatedState>(
    mut settings: ReplicaSettings,
    mut ends: TaskEnds<S>,
    first_error: StorageError,
) {
    let mut error = first_error;
    let mut backoff = Backoff::default();
    while error.is_transient() {
        tracing::warn!(%error, "disk cannot be opened; retrying");
        match reject_commands(&mut settings, &mut ends, backoff.next_delay()).await {
            WaitOutcome::Elapsed => {}
            WaitOutcome::HandlesDropped => return,
        }
        error = match open_disk(&settings) {
            Ok(opened) => return run(settings, opened, ends).await,
            Err(error) => error,
        };
    }
    tracing::error!(%error, "disk is unusable");
}

async fn run<S: ReplicatedState>(
    settings: ReplicaSettings,
    opened: OpenedFolder,
    ends: TaskEnds<S>,
) {
    tracing::info!("disk is open");
    match new_driver(settings, opened, ends) {
        Ok(driver) => driver.run().await,
        Err(error) => tracing::error!(%error, "replica cannot start"),
    }
}

/// The reason why [`reject_commands`] returned.
enum WaitOutcome {
    /// The delay has elapsed.
    Elapsed,
    /// All handles were dropped.
    HandlesDropped,
}

/// Discards commands and messages until the delay has elapsed. The callers of discarded commands get
/// [`crate::Unavailable`].
async fn reject_commands<S: ReplicatedState>(
    settings: &mut ReplicaSettings,
    ends: &mut TaskEnds<S>,
    delay: Duration,
) -> WaitOutcome {
    let elapsed = tokio::time::sleep(delay);
    tokio::pin!(elapsed);
    loop {
        tokio::select! {
            () = &mut elapsed => return WaitOutcome::Elapsed,
            command = ends.commands.recv() => match command {
                Some(Command::SetSeeds(seeds)) => settings.seeds = seeds,
                Some(_) => {}
                None => return WaitOutcome::HandlesDropped,
            },
            Some(_) = ends.inbox.recv() => {}
        }
    }
}
