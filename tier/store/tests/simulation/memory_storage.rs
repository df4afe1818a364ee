//! A storage in memory that simulates the latency and the data loss of a disk.

// Each test uses only a part of this storage.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::rows::{RowChange, Table};
use plankhill_store::storage::{Storage, StorageError};
use tokio::time::Instant;

/// Additional delay of a write on a disk that ignores syncs, as a multiple of the sync time.
const UNSYNCED_WRITE_SYNCS: u32 = 20;

type Rows = BTreeMap<(Table, Vec<u8>), Vec<u8>>;

/// Rows in memory. Clones share the rows, like successive processes on the same disk.
#[derive(Clone, Default)]
pub struct MemoryStorage {
    disk: Rc<SimulatedDisk>,
}

#[derive(Default)]
struct SimulatedDisk {
    synced: RefCell<Rows>,
    sync_time: Cell<Duration>,
    busy_until: Cell<Option<Instant>>,
    is_failing: Cell<bool>,
    is_refusing: Cell<bool>,
    ignores_syncs: Cell<bool>,
    /// Number of power losses so far; an unsynced commit from before the last power loss is lost.
    power_losses: Cell<u64>,
}

impl MemoryStorage {
    /// Creates an empty disk whose syncs take `sync_time`.
    pub fn new(sync_time: Duration) -> Self {
        let storage = MemoryStorage::default();
        storage.disk.sync_time.set(sync_time);
        storage
    }

    /// Drops the commits in progress, like a power loss.
    pub fn lose_power(&self) {
        self.disk.power_losses.set(self.disk.power_losses.get() + 1);
        self.disk.busy_until.set(None);
    }

    /// Removes all rows and drops the commits in progress.
    pub fn wipe(&self) {
        self.lose_power();
        self.disk.synced.borrow_mut().clear();
    }

    /// Sets whether commits fail.
    pub fn set_failing(&self, is_failing: bool) {
        self.disk.is_failing.set(is_failing);
    }

    /// Sets whether commits are refused, as by a full disk.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.disk.is_refusing.set(is_refusing);
    }

    /// Sets the duration of later syncs.
    pub fn set_sync_time(&self, sync_time: Duration) {
        self.disk.sync_time.set(sync_time);
    }

    /// Sets whether commits complete before they are synced, which is an injected fault.
    pub fn set_ignores_syncs(&self, ignores_syncs: bool) {
        self.disk.ignores_syncs.set(ignores_syncs);
    }
}

impl Storage for MemoryStorage {
    fn commit(
        &self,
        changes: Vec<RowChange>,
    ) -> impl Future<Output = Result<(), StorageError>> + 'static {
        let disk = self.disk.clone();
        let power_losses = disk.power_losses.get();
        let synced_at = disk.schedule_sync();
        let (done, outcome) = tokio::sync::oneshot::channel();
        // The disk completes a commit even if the caller has stopped waiting.
        tokio::task::spawn_local(async move {
            if disk.ignores_syncs.get() {
                let _ = done.send(disk.outcome());
                let delay = UNSYNCED_WRITE_SYNCS * disk.sync_time.get();
                tokio::time::sleep_until(synced_at + delay).await;
                disk.write(power_losses, changes);
            } else {
                tokio::time::sleep_until(synced_at).await;
                disk.write(power_losses, changes);
                let _ = done.send(disk.outcome());
            }
        });
        async move {
            match outcome.await {
                Ok(outcome) => outcome,
                // The simulated process has ended with its tasks, so the commit never completes.
                Err(_) => std::future::pending().await,
            }
        }
    }

    fn read(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, StorageError> {
        Ok(self
            .disk
            .synced
            .borrow()
            .get(&(table, key.to_vec()))
            .cloned())
    }

    fn scan(&self, table: Table, visit: &mut dyn FnMut(&[u8], &[u8])) -> Result<(), StorageError> {
        for ((row_table, key), value) in self.disk.synced.borrow().iter() {
            if *row_table == table {
                visit(key, value);
            }
        }
        Ok(())
    }
}

impl SimulatedDisk {
    /// Returns when a commit that is called now will be synced. The commit joins the next sync to begin.
    fn schedule_sync(&self) -> Instant {
        let now = Instant::now();
        let sync_time = self.sync_time.get();
        let synced_at = match self.busy_until.get() {
            // A sync is in progress and the next one is already scheduled.
            Some(until) if until > now + sync_time => until,
            Some(until) if until > now => until + sync_time,
            _ => now + sync_time,
        };
        self.busy_until.set(Some(synced_at));
        synced_at
    }

    fn write(&self, power_losses: u64, changes: Vec<RowChange>) {
        let is_lost = self.power_losses.get() != power_losses;
        if is_lost || self.is_failing.get() || self.is_refusing.get() {
            return;
        }
        let mut rows = self.synced.borrow_mut();
        for change in changes {
            match change.value {
                Some(value) => rows.insert((change.table, change.key), value),
                None => rows.remove(&(change.table, change.key)),
            };
        }
    }

    fn outcome(&self) -> Result<(), StorageError> {
        if self.is_failing.get() {
            return Err(StorageError::Failed("injected failure".into()));
        }
        if self.is_refusing.get() {
            return Err(StorageError::Refused("no space is left".into()));
        }
        Ok(())
    }
}
