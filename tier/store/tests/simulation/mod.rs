//! A simulated deployment in virtual time: stores, the control plane as far as stores see it, and proxies.
//! A seed determines everything that happens.

// Each test uses a part of the simulation.
#![allow(dead_code)]

pub mod control;
pub mod faults;
pub mod machine;
pub mod memory_storage;
pub mod network;
pub mod programs;
pub mod proxy;
pub mod rng;
pub mod scenario;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use plankhill_protocol::ids::NodeId;
use plankhill_protocol::tables::StoreView;
use tokio::task::LocalSet;
use tokio::time::Instant;

use machine::Machine;
use network::Network;
use programs::Programs;
use rng::Rng;

/// A defect that a test puts into the deployment: the checks must detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    None,
    /// Disks say that they have synced before they have.
    DisksIgnoreSyncs,
    /// The views say that no fault has to be tolerated.
    NoSpareReplicas,
    /// A store with an empty disk keeps its old incarnation, and copies nothing.
    SameIncarnation,
    /// The control plane does not wait for transfers.
    SwitchesBeforeTransfer,
    /// Stores answer reservations with empty accounts.
    AccountsNotSent,
    /// Clocks run 20 times too fast.
    FastClocks,
    /// Stores do not refuse calls of older views.
    NoEpochFencing,
    /// Repairs are lost, and stores copy nothing.
    NoRepairs,
}

pub struct World {
    pub bug: SeededBug,
    pub rng: RefCell<Rng>,
    pub machines: RefCell<BTreeMap<NodeId, Machine>>,
    pub network: RefCell<Network>,
    pub view: RefCell<StoreView>,
    pub retired: RefCell<Vec<NodeId>>,
    pub programs: RefCell<Programs>,
    pub tolerated_faults: u32,
    pub started: Instant,
    pub ended: Cell<bool>,
    /// Whether machines that are retired stay in place.
    pub keeps_retired: Cell<bool>,
}

impl World {
    pub fn new(seed: u64, stores: u64, tolerated_faults: u32, bug: SeededBug) -> Rc<Self> {
        let world = Rc::new(World {
            bug,
            rng: RefCell::new(Rng::new(seed)),
            machines: RefCell::default(),
            network: RefCell::default(),
            view: RefCell::default(),
            retired: RefCell::default(),
            programs: RefCell::default(),
            tolerated_faults,
            started: Instant::now(),
            ended: Cell::new(false),
            keeps_retired: Cell::new(false),
        });
        (0..stores).for_each(|number| world.add_machine(number));
        world.publish_first_view();
        world
    }

    pub fn within(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.borrow_mut().within(range)
    }

    pub fn chance(&self, percent: u64) -> bool {
        self.rng.borrow_mut().chance(percent)
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

pub fn milliseconds(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Runs a scenario in virtual time.
pub fn run<T>(scenario: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), scenario)
}
