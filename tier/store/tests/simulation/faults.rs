//! Faults, injected one after the other so that never more are active at once than the tier tolerates.

use std::rc::Rc;

use plankhill_protocol::ids::NodeId;

use super::{milliseconds, World};

/// Time for which a machine still counts as faulty after its restart or recovery.
pub const CATCH_UP_MS: u64 = 4_100;

/// Time for which no view of the control plane reaches a store.
const CONTROL_BLOCKED_MS: u64 = 4_000;

/// A fault of one machine, of several or of all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill,
    Wipe,
    Freeze,
    Isolate,
    /// A machine receives all messages but its own messages reach no machine, or vice versa.
    IsolateOneWay,
    SlowDisk,
    /// The disk fails for a while; the process restarts once the disk works again.
    FailingDisk,
    /// The disk is full for a while; the process keeps running.
    FullDisk,
    Retire,
    Add,
    /// A machine is replaced by an empty one at another address.
    Replace,
    /// No view of the control plane reaches a machine for a while; the next fault does not wait for the end
    /// of this one.
    BlockControlPlane,
    /// All machines lose power.
    PowerLoss,
    /// A machine loses its disk while all others lose power.
    PowerLossAndWipe,
    /// A machine loses its disk, and another one is killed soon after the first has restarted.
    WipeThenKill,
    /// Several processes are killed at once.
    KillSeveral,
}

const ALL: [Fault; 16] = [
    Fault::Kill,
    Fault::Wipe,
    Fault::Freeze,
    Fault::Isolate,
    Fault::IsolateOneWay,
    Fault::SlowDisk,
    Fault::FailingDisk,
    Fault::FullDisk,
    Fault::Retire,
    Fault::Add,
    Fault::Replace,
    Fault::BlockControlPlane,
    Fault::PowerLoss,
    Fault::PowerLossAndWipe,
    Fault::WipeThenKill,
    Fault::KillSeveral,
];

impl World {
    /// Injects one fault after the other.
    pub async fn run_faults(self: Rc<Self>, count: u64, fault_kinds: &[Fault]) {
        let fault_kinds = if fault_kinds.is_empty() {
            &ALL
        } else {
            fault_kinds
        };
        for number in 0..count {
            tokio::time::sleep(milliseconds(self.random_range(50..1_500))).await;
            let kind = fault_kinds[self.random_range(0..fault_kinds.len() as u64) as usize];
            self.inject(kind, 100 + number).await;
        }
    }

    async fn inject(self: &Rc<Self>, kind: Fault, number: u64) {
        let nodes = self.nodes();
        let node = nodes[self.random_range(0..nodes.len() as u64) as usize].clone();
        let downtime_ms = self.random_range(20..2_500);
        match kind {
            Fault::Kill => {
                self.kill(&node);
                self.restart_after(&node, downtime_ms).await;
            }
            Fault::Wipe => {
                self.wipe(&node);
                self.restart_after(&node, downtime_ms).await;
            }
            Fault::Freeze => {
                self.freeze(&node, downtime_ms);
                tokio::time::sleep(milliseconds(downtime_ms + CATCH_UP_MS)).await;
            }
            Fault::Isolate => self.isolate(&node, true, true, downtime_ms).await,
            Fault::IsolateOneWay => {
                let is_receiving = self.random_bool(50);
                self.isolate(&node, !is_receiving, is_receiving, downtime_ms)
                    .await;
            }
            Fault::SlowDisk => self.slow_disk(&node, downtime_ms).await,
            Fault::FailingDisk => self.failing_disk(&node, downtime_ms).await,
            Fault::FullDisk => self.full_disk(&node, downtime_ms).await,
            Fault::Replace => {
                self.remove(&node);
                tokio::time::sleep(milliseconds(downtime_ms)).await;
                self.add_machine_named(number, &node);
                tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
            }
            Fault::WipeThenKill => {
                self.wipe(&node);
                tokio::time::sleep(milliseconds(downtime_ms)).await;
                self.start(&node);
                tokio::time::sleep(milliseconds(self.random_range(0..700))).await;
                let other = nodes[self.random_range(0..nodes.len() as u64) as usize].clone();
                self.kill(&other);
                self.restart_after(&other, 1_500).await;
            }
            Fault::KillSeveral => {
                let killed: Vec<NodeId> =
                    nodes.into_iter().filter(|_| self.random_bool(60)).collect();
                for node in &killed {
                    self.kill(node);
                }
                tokio::time::sleep(milliseconds(self.random_range(20..1_000))).await;
                for node in &killed {
                    self.start(node);
                }
                tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
            }
            Fault::Retire => self.retire(&node).await,
            Fault::Add => {
                self.add_machine(number);
                tokio::time::sleep(milliseconds(downtime_ms)).await;
            }
            Fault::BlockControlPlane => self.block_control_plane(&node),
            Fault::PowerLoss | Fault::PowerLossAndWipe => {
                self.power_loss(&node, kind, downtime_ms).await
            }
        }
    }

    fn block_control_plane(self: &Rc<Self>, node: &NodeId) {
        self.network
            .borrow_mut()
            .control_blocked
            .insert(node.clone());
        let (world, node) = (self.clone(), node.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(milliseconds(CONTROL_BLOCKED_MS)).await;
            world.network.borrow_mut().control_blocked.remove(&node);
        });
    }

    async fn isolate(&self, node: &NodeId, inbound: bool, outbound: bool, downtime_ms: u64) {
        {
            let mut network = self.network.borrow_mut();
            network
                .outbound_blocked
                .extend(outbound.then(|| node.clone()));
            network
                .inbound_blocked
                .extend(inbound.then(|| node.clone()));
        }
        tokio::time::sleep(milliseconds(downtime_ms)).await;
        self.network.borrow_mut().outbound_blocked.remove(node);
        self.network.borrow_mut().inbound_blocked.remove(node);
        tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
    }

    /// Makes the disk fail; the process ends, and restarts once the disk works again.
    async fn failing_disk(self: &Rc<Self>, node: &NodeId, downtime_ms: u64) {
        let Some(disk) = self.disk(node) else {
            return;
        };
        disk.set_failing(true);
        tokio::time::sleep(milliseconds(downtime_ms)).await;
        self.kill(node);
        disk.set_failing(false);
        self.restart_after(node, 100).await;
    }

    /// Makes the disk full; the process refuses writes, and continues to read and repair.
    async fn full_disk(&self, node: &NodeId, downtime_ms: u64) {
        let Some(disk) = self.disk(node) else {
            return;
        };
        disk.set_refusing(true);
        tokio::time::sleep(milliseconds(downtime_ms)).await;
        disk.set_refusing(false);
        tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
        let running = self
            .machines
            .borrow()
            .get(node)
            .and_then(|machine| machine.node());
        assert!(
            running.is_none_or(|store| !store.has_storage_failed()),
            "a full disk must not end a store"
        );
    }

    async fn slow_disk(&self, node: &NodeId, downtime_ms: u64) {
        let Some(disk) = self.disk(node) else {
            return;
        };
        disk.set_sync_time(milliseconds(900));
        tokio::time::sleep(milliseconds(downtime_ms)).await;
        disk.set_sync_time(milliseconds(5));
        tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
    }

    /// Retires a store if enough others remain, and wipes another one as soon as the first is removed.
    async fn retire(self: &Rc<Self>, node: &NodeId) {
        let min_stores = 2 * self.tolerated_faults as usize + 1;
        if self.nodes().len() <= min_stores {
            return;
        }
        self.retired.borrow_mut().push(node.clone());
        while self.nodes().contains(node) && !self.ended.get() {
            tokio::time::sleep(milliseconds(10)).await;
        }
        let nodes = self.nodes();
        let other = nodes[self.random_range(0..nodes.len() as u64) as usize].clone();
        self.wipe(&other);
        self.restart_after(&other, 100).await;
    }

    async fn power_loss(self: &Rc<Self>, node: &NodeId, kind: Fault, downtime_ms: u64) {
        let nodes = self.nodes();
        for node in &nodes {
            self.kill(node);
        }
        if kind == Fault::PowerLossAndWipe {
            self.wipe(node);
        }
        tokio::time::sleep(milliseconds(downtime_ms.min(1_000))).await;
        for node in &nodes {
            self.start(node);
        }
        tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
    }

    async fn restart_after(self: &Rc<Self>, node: &NodeId, downtime_ms: u64) {
        tokio::time::sleep(milliseconds(downtime_ms)).await;
        self.start(node);
        tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
    }
}
