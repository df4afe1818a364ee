//! Simulated machines, each of which runs a store.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;

use plankhill_conversations::keys::turn_key;
use plankhill_conversations::rows::Table;
use plankhill_conversations::wire::{StoreRequest, StoreResponse};
use plankhill_protocol::ids::{Incarnation, NodeId, RequestId, ZoneName};
use plankhill_protocol::tables::StoreMember;
use plankhill_store::clock::Clock;
use plankhill_store::limits::Limits;
use plankhill_store::node::{Node, NodeParts};
use plankhill_store::storage::Storage;
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, LocalSet};
use tokio::time::Instant;

use super::memory_storage::MemoryStorage;
use super::network::SimulatedPeers;
use super::{milliseconds, store, SeededBug, World};

/// Memory of each store for chains that it reads for proxies, and for those that it reads for other stores.
pub const CHAIN_MEMORY_BYTES: usize = 4_000_000;

pub type StoreNode = Node<SimulatedPeers, MemoryStorage, SimulatedClock>;
type LocalTask = Pin<Box<dyn Future<Output = ()>>>;
type Calls = mpsc::UnboundedSender<(StoreRequest, oneshot::Sender<StoreResponse>)>;

/// A time of day that follows virtual time.
pub struct SimulatedClock {
    started: Instant,
    speed: u64,
}

impl Clock for SimulatedClock {
    fn now_ms(&self) -> u64 {
        1_000_000_000 + self.started.elapsed().as_millis() as u64 * self.speed
    }
}

pub struct Machine {
    pub member: StoreMember,
    pub disk: MemoryStorage,
    pub frozen_until: Option<Instant>,
    process: Option<Process>,
}

/// The running process of a store.
struct Process {
    node: Rc<StoreNode>,
    calls: Calls,
    tasks: mpsc::UnboundedSender<LocalTask>,
    task: AbortHandle,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Machine {
    pub fn call_queue(&self) -> Option<Calls> {
        self.process.as_ref().map(|process| process.calls.clone())
    }

    /// Returns whether the turn is on the disk.
    pub fn has_turn(&self, turn: &RequestId) -> bool {
        matches!(self.disk.read(Table::Turns, &turn_key(turn)), Ok(Some(_)))
    }

    /// Runs a task inside the process; the task ends with the process.
    pub fn spawn_in_process(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(process) = &self.process {
            // Fails only if the process is ending; the task is then dropped.
            let _ = process.tasks.send(Box::pin(task));
        }
    }

    pub fn node(&self) -> Option<Rc<StoreNode>> {
        self.process.as_ref().map(|process| process.node.clone())
    }
}

impl World {
    pub fn add_machine(self: &Rc<Self>, number: u64) {
        self.add_machine_named(number, &store(number));
    }

    /// Adds a machine with an empty disk at an address derived from the number, and starts it.
    pub fn add_machine_named(self: &Rc<Self>, number: u64, node: &NodeId) {
        let ip = Ipv4Addr::new(10, 0, 0, 1 + number as u8);
        let member = StoreMember {
            node: node.clone(),
            incarnation: Incarnation(1_000 * number + 1),
            address: SocketAddr::from((ip, 7_000)),
            zone: ZoneName::from(format!("zone-{}", number % 3).as_str()),
        };
        let disk = MemoryStorage::new(milliseconds(self.random_range(2..10)));
        disk.set_ignores_syncs(self.bug == SeededBug::DisksIgnoreSyncs);
        let machine = Machine {
            member,
            disk,
            frozen_until: None,
            process: None,
        };
        self.machines.borrow_mut().insert(node.clone(), machine);
        self.start(node);
    }

    pub fn node_at(&self, address: SocketAddr) -> Option<NodeId> {
        let machines = self.machines.borrow();
        let found = machines
            .iter()
            .find(|(_, machine)| machine.member.address == address);
        found.map(|(node, _)| node.clone())
    }

    /// Starts the process of a machine, unless the machine does not exist or its process is running.
    pub fn start(self: &Rc<Self>, node: &NodeId) {
        let mut machines = self.machines.borrow_mut();
        let Some(machine) = machines
            .get_mut(node)
            .filter(|machine| machine.process.is_none())
        else {
            return;
        };
        let speed = if self.bug == SeededBug::FastClocks {
            20
        } else {
            1
        };
        let parts = NodeParts {
            identity: machine.member.clone(),
            limits: Limits {
                retention_slack_ms: 10_000,
                max_index_bytes: 50_000_000,
                chain_memory_bytes: CHAIN_MEMORY_BYTES,
                peer_chain_memory_bytes: CHAIN_MEMORY_BYTES,
            },
            peers: SimulatedPeers {
                world: Rc::downgrade(self),
                from: node.clone(),
            },
            storage: machine.disk.clone(),
            clock: SimulatedClock {
                started: self.started,
                speed,
            },
        };
        let process = LocalSet::new();
        let started = Node::load(parts).expect("disks in memory can be read");
        let (calls, queue) = mpsc::unbounded_channel();
        let (tasks, task_queue) = mpsc::unbounded_channel();
        process.spawn_local(run_tasks(task_queue));
        process.spawn_local(started.clone().run());
        process.spawn_local(answer_calls(started.clone(), queue));
        let task = tokio::task::spawn_local(process).abort_handle();
        machine.process = Some(Process {
            node: started,
            calls,
            tasks,
            task,
        });
    }

    /// Ends the process; commits that the disk has not synced are lost.
    pub fn kill(&self, node: &NodeId) {
        self.clear_refusals(node);
        if let Some(machine) = self.machines.borrow_mut().get_mut(node) {
            machine.process = None;
            machine.disk.lose_power();
        }
    }

    /// Ends the process and empties its disk.
    pub fn wipe(&self, node: &NodeId) {
        self.kill(node);
        if let Some(machine) = self.machines.borrow_mut().get_mut(node) {
            machine.disk.wipe();
            if self.bug != SeededBug::SameIncarnation {
                machine.member.incarnation.0 += 1;
            }
        }
    }

    pub fn freeze(&self, node: &NodeId, duration_ms: u64) {
        if let Some(machine) = self.machines.borrow_mut().get_mut(node) {
            machine.frozen_until = Some(Instant::now() + milliseconds(duration_ms));
        }
    }

    /// Removes the machine with its disk.
    pub fn remove(&self, node: &NodeId) {
        self.kill(node);
        self.machines.borrow_mut().remove(node);
    }

    pub fn disk(&self, node: &NodeId) -> Option<MemoryStorage> {
        let machines = self.machines.borrow();
        machines.get(node).map(|machine| machine.disk.clone())
    }

    /// The machines that currently exist.
    pub fn nodes(&self) -> Vec<NodeId> {
        self.machines.borrow().keys().cloned().collect()
    }
}

async fn answer_calls(
    node: Rc<StoreNode>,
    mut queue: mpsc::UnboundedReceiver<(StoreRequest, oneshot::Sender<StoreResponse>)>,
) {
    while let Some((request, answer)) = queue.recv().await {
        let node = node.clone();
        tokio::task::spawn_local(async move {
            // The receiver is dropped if the caller has stopped waiting.
            let _ = answer.send(node.handle_call(request).await.body);
        });
    }
}

async fn run_tasks(mut queue: mpsc::UnboundedReceiver<LocalTask>) {
    while let Some(task) = queue.recv().await {
        tokio::task::spawn_local(task);
    }
}
