//! The memory for chains that are being read.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of one permit of the semaphore, whose permits are counted by 32-bit integers.
const PERMIT_BYTES: usize = 1024;
/// Maximum number of permits, less than that of a semaphore on any machine.
const MAX_PERMITS: u32 = u32::MAX >> 3;
/// A chain is in memory twice at most: as turns and as the joined history, and then as the history and as
/// the frame in which it is sent.
const COPIES: usize = 2;

/// Bounds the memory of all chains that are read at the same time. A chain waits, in order of arrival, until
/// there is memory for it.
#[derive(Debug)]
pub(in crate::node) struct ChainMemory {
    permits: Arc<Semaphore>,
    total: u32,
}

/// The memory reserved for one chain; released when dropped.
#[derive(Debug)]
pub(in crate::node) struct ChainReservation(
    #[allow(dead_code, reason = "held for its drop")] Option<OwnedSemaphorePermit>,
);

impl ChainMemory {
    /// Creates a budget of `bytes` in total.
    pub(in crate::node) fn new(bytes: usize) -> Self {
        let total = permits_of(bytes);
        ChainMemory {
            permits: Arc::new(Semaphore::new(total as usize)),
            total,
        }
    }

    /// Waits for the memory of a chain of at most `chain_bytes`. A chain that is larger than the budget is read
    /// alone.
    pub(in crate::node) async fn reserve(&self, chain_bytes: usize) -> ChainReservation {
        let needed = permits_of(chain_bytes.saturating_mul(COPIES)).min(self.total);
        if self.permits.available_permits() < needed as usize {
            tracing::debug!(chain_bytes, "chain waits for memory");
        }
        let permit = self.permits.clone().acquire_many_owned(needed).await;
        // Fails only if the semaphore is closed, which nothing does.
        ChainReservation(permit.ok())
    }
}

/// The permits for this many bytes, at least one.
fn permits_of(bytes: usize) -> u32 {
    let permits = bytes.div_ceil(PERMIT_BYTES).max(1);
    u32::try_from(permits).unwrap_or(u32::MAX).min(MAX_PERMITS)
}
