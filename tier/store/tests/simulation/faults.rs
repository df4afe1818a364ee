//! Troubles that come one after the other, never more at once than the tier bears.

use std::rc::Rc;

use plankhill_protocol::ids::NodeId;

use super::{milliseconds, World};

/// After its return a machine still counts as lost for this time.
pub const CATCH_UP_MS: u64 = 4_100;

/// How long a store hears nothing from the control plane.
const DEAF_MS: u64 = 4_000;

/// What happens to one machine, or to all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Kill,
    Wipe,
    Freeze,
    CutOff,
    /// One hears everybody and is heard by nobody, or the other way round.
    CutOneWay,
    SlowDisk,
    /// The disk takes no writes for a while.
    FailingDisk,
    /// The disk is full for a while; the process goes on.
    FullDisk,
    Retire,
    Add,
    /// One is replaced by an empty one at another address.
    Replace,
    /// One hears nothing from the control plane for a while; the next trouble comes meanwhile.
    Deaf,
    /// All lose power.
    Power,
    /// One loses its disk while all others lose power.
    PowerAndWipe,
    /// One loses its disk, and another one loses power before the first has copied anything.
    WipeThenKill,
    /// Several processes are killed at once.
    KillSeveral,
}

const ALL: [Trouble; 16] = [
    Trouble::Kill,
    Trouble::Wipe,
    Trouble::Freeze,
    Trouble::CutOff,
    Trouble::CutOneWay,
    Trouble::SlowDisk,
    Trouble::FailingDisk,
    Trouble::FullDisk,
    Trouble::Retire,
    Trouble::Add,
    Trouble::Replace,
    Trouble::Deaf,
    Trouble::Power,
    Trouble::PowerAndWipe,
    Trouble::WipeThenKill,
    Trouble::KillSeveral,
];

impl World {
    /// One trouble after the other.
    pub async fn run_troubles(self: Rc<Self>, count: u64, kinds: &[Trouble]) {
        let kinds = if kinds.is_empty() { &ALL } else { kinds };
        for number in 0..count {
            tokio::time::sleep(milliseconds(self.within(50..1_500))).await;
            let kind = kinds[self.within(0..kinds.len() as u64) as usize];
            self.trouble(kind, 100 + number).await;
        }
    }

    async fn trouble(self: &Rc<Self>, kind: Trouble, number: u64) {
        let nodes = self.nodes();
        let node = nodes[self.within(0..nodes.len() as u64) as usize].clone();
        let away = self.within(20..2_500);
        match kind {
            Trouble::Kill => {
                self.kill(&node);
                self.back_after(&node, away).await;
            }
            Trouble::Wipe => {
                self.wipe(&node);
                self.back_after(&node, away).await;
            }
            Trouble::Freeze => {
                self.freeze(&node, away);
                tokio::time::sleep(milliseconds(away + CATCH_UP_MS)).await;
            }
            Trouble::CutOff => self.cut(&node, true, true, away).await,
            Trouble::CutOneWay => {
                let hears = self.chance(50);
                self.cut(&node, !hears, hears, away).await;
            }
            Trouble::SlowDisk => self.slow_disk(&node, away).await,
            Trouble::FailingDisk => self.failing_disk(&node, away).await,
            Trouble::FullDisk => self.full_disk(&node, away).await,
            Trouble::Replace => {
                self.remove(&node);
                tokio::time::sleep(milliseconds(away)).await;
                self.add_machine_named(number, &node);
                tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
            }
            Trouble::WipeThenKill => {
                self.wipe(&node);
                tokio::time::sleep(milliseconds(away)).await;
                self.start(&node);
                tokio::time::sleep(milliseconds(self.within(0..700))).await;
                let other = nodes[self.within(0..nodes.len() as u64) as usize].clone();
                self.kill(&other);
                self.back_after(&other, 1_500).await;
            }
            Trouble::KillSeveral => {
                let killed: Vec<NodeId> = nodes.into_iter().filter(|_| self.chance(60)).collect();
                killed.iter().for_each(|node| self.kill(node));
                tokio::time::sleep(milliseconds(self.within(20..1_000))).await;
                killed.iter().for_each(|node| self.start(node));
                tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
            }
            Trouble::Retire => self.retire(&node).await,
            Trouble::Add => {
                self.add_machine(number);
                tokio::time::sleep(milliseconds(away)).await;
            }
            Trouble::Deaf => self.deafen(&node),
            Trouble::Power | Trouble::PowerAndWipe => self.power(&node, kind, away).await,
        }
    }

    fn deafen(self: &Rc<Self>, node: &NodeId) {
        self.network.borrow_mut().deaf.insert(node.clone());
        let (world, node) = (self.clone(), node.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(milliseconds(DEAF_MS)).await;
            world.network.borrow_mut().deaf.remove(&node);
        });
    }

    async fn cut(&self, node: &NodeId, to: bool, from: bool, away: u64) {
        {
            let mut network = self.network.borrow_mut();
            network.unheard.extend(from.then(|| node.clone()));
            network.deafened.extend(to.then(|| node.clone()));
        }
        tokio::time::sleep(milliseconds(away)).await;
        self.network.borrow_mut().unheard.remove(node);
        self.network.borrow_mut().deafened.remove(node);
        tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
    }

    /// The process notices a disk that fails, ends, and starts anew once the disk is well.
    async fn failing_disk(self: &Rc<Self>, node: &NodeId, away: u64) {
        let disk = self
            .machines
            .borrow()
            .get(node)
            .map(|machine| machine.disk.clone());
        let Some(disk) = disk else { return };
        disk.set_failing(true);
        tokio::time::sleep(milliseconds(away)).await;
        self.kill(node);
        disk.set_failing(false);
        self.back_after(node, 100).await;
    }

    /// The process stays up: it refuses what has to be written, and goes on reading and repairing.
    async fn full_disk(&self, node: &NodeId, away: u64) {
        let disk = self
            .machines
            .borrow()
            .get(node)
            .map(|machine| machine.disk.clone());
        let Some(disk) = disk else { return };
        disk.set_refusing(true);
        tokio::time::sleep(milliseconds(away)).await;
        disk.set_refusing(false);
        tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
        let running = self
            .machines
            .borrow()
            .get(node)
            .and_then(|machine| machine.node());
        assert!(
            running.is_none_or(|store| !store.disk_failed()),
            "a full disk does not end a store"
        );
    }

    async fn slow_disk(&self, node: &NodeId, away: u64) {
        let disk = self
            .machines
            .borrow()
            .get(node)
            .map(|machine| machine.disk.clone());
        let Some(disk) = disk else { return };
        disk.set_sync_time(milliseconds(900));
        tokio::time::sleep(milliseconds(away)).await;
        disk.set_sync_time(milliseconds(5));
        tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
    }

    /// Retires a store if enough are left, and loses the disk of another one as soon as it is gone.
    async fn retire(self: &Rc<Self>, node: &NodeId) {
        let least = 2 * self.faults as usize + 1;
        if self.nodes().len() <= least {
            return;
        }
        self.retired.borrow_mut().push(node.clone());
        while self.nodes().contains(node) && !self.ended.get() {
            tokio::time::sleep(milliseconds(10)).await;
        }
        let nodes = self.nodes();
        let other = nodes[self.within(0..nodes.len() as u64) as usize].clone();
        self.wipe(&other);
        self.back_after(&other, 100).await;
    }

    async fn power(self: &Rc<Self>, node: &NodeId, kind: Trouble, away: u64) {
        let nodes = self.nodes();
        nodes.iter().for_each(|node| self.kill(node));
        if kind == Trouble::PowerAndWipe {
            self.wipe(node);
        }
        tokio::time::sleep(milliseconds(away.min(1_000))).await;
        nodes.iter().for_each(|node| self.start(node));
        tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
    }

    async fn back_after(self: &Rc<Self>, node: &NodeId, away: u64) {
        tokio::time::sleep(milliseconds(away)).await;
        self.start(node);
        tokio::time::sleep(milliseconds(CATCH_UP_MS)).await;
    }
}
