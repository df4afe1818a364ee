//! Rows in memory with the time and the losses of a disk, for tests.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use plankhill_conversations::rows::{RowChange, Table};
use tokio::time::Instant;

use super::{Disk, DiskError};

type Rows = BTreeMap<(Table, Vec<u8>), Vec<u8>>;

/// Rows in memory. Clones share them, as processes that start one after the other share a disk.
#[derive(Clone, Default)]
pub struct MemoryDisk {
    shared: Rc<Shared>,
}

#[derive(Default)]
struct Shared {
    synced: RefCell<Rows>,
    sync_time: Cell<Duration>,
    busy_until: Cell<Option<Instant>>,
    failing: Cell<bool>,
    refusing: Cell<bool>,
    ignores_syncs: Cell<bool>,
    life: Cell<u64>,
}

impl MemoryDisk {
    /// An empty disk whose syncs take this long.
    pub fn new(sync_time: Duration) -> Self {
        let disk = MemoryDisk::default();
        disk.shared.sync_time.set(sync_time);
        disk
    }

    /// Ends the commits under way without a trace, as a loss of power does.
    pub fn lose_power(&self) {
        self.shared.life.set(self.shared.life.get() + 1);
        self.shared.busy_until.set(None);
    }

    /// Loses everything.
    pub fn wipe(&self) {
        self.lose_power();
        self.shared.synced.borrow_mut().clear();
    }

    /// From now on commits fail, or succeed again.
    pub fn set_failing(&self, failing: bool) {
        self.shared.failing.set(failing);
    }

    /// From now on commits are refused as by a full disk, or taken again.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.refusing.set(refusing);
    }

    /// How long syncs take from now on.
    pub fn set_sync_time(&self, sync_time: Duration) {
        self.shared.sync_time.set(sync_time);
    }

    /// A planted fault: commits end before they are synced.
    pub fn set_ignores_syncs(&self, ignores: bool) {
        self.shared.ignores_syncs.set(ignores);
    }

    /// When a commit that is called now is synced: one shares the sync that begins after it was called.
    fn synced_at(&self) -> Instant {
        let now = Instant::now();
        let sync_time = self.shared.sync_time.get();
        let ends = match self.shared.busy_until.get() {
            // A sync is under way and another one waits already.
            Some(until) if until > now + sync_time => until,
            Some(until) if until > now => until + sync_time,
            _ => now + sync_time,
        };
        self.shared.busy_until.set(Some(ends));
        ends
    }
}

impl Disk for MemoryDisk {
    fn commit(
        &self,
        changes: Vec<RowChange>,
    ) -> impl Future<Output = Result<(), DiskError>> + 'static {
        let shared = self.shared.clone();
        let life = shared.life.get();
        let synced_at = self.synced_at();
        let (done, waiting) = tokio::sync::oneshot::channel();
        // The disk goes on with what it was given, whether or not the caller waits.
        tokio::task::spawn_local(async move {
            if !shared.ignores_syncs.get() {
                tokio::time::sleep_until(synced_at).await;
                shared.write(life, changes);
                let _ = done.send(shared.outcome());
            } else {
                let _ = done.send(shared.outcome());
                tokio::time::sleep_until(synced_at + 20 * shared.sync_time.get()).await;
                shared.write(life, changes);
            }
        });
        async move {
            match waiting.await {
                Ok(outcome) => outcome,
                Err(_) => std::future::pending().await,
            }
        }
    }

    fn read(&self, table: Table, key: &[u8]) -> Result<Option<Vec<u8>>, DiskError> {
        Ok(self
            .shared
            .synced
            .borrow()
            .get(&(table, key.to_vec()))
            .cloned())
    }

    fn scan(&self, table: Table, visit: &mut dyn FnMut(&[u8], &[u8])) -> Result<(), DiskError> {
        let rows = self.shared.synced.borrow();
        rows.iter()
            .filter(|((other, _), _)| *other == table)
            .for_each(|((_, key), value)| visit(key, value));
        Ok(())
    }
}

impl Shared {
    fn write(&self, life: u64, changes: Vec<RowChange>) {
        if self.life.get() != life || self.failing.get() || self.refusing.get() {
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

    fn outcome(&self) -> Result<(), DiskError> {
        if self.failing.get() {
            return Err(DiskError::Failed("planted".into()));
        }
        if self.refusing.get() {
            return Err(DiskError::Refused("no space is left".into()));
        }
        Ok(())
    }
}
