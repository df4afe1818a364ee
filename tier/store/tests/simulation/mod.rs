//! A simulated deployment in virtual time: stores, a control plane and proxies. Each run is determined by
//! its seed.

// Each test uses only a part of the simulation.
#![allow(dead_code)]

pub mod control;
pub mod faults;
pub mod machine;
pub mod memory_storage;
pub mod network;
pub mod oracle;
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
use oracle::Oracle;
use rng::Rng;

/// A defect that a test injects into the deployment and that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    None,
    /// Disks report a commit as synced before it is.
    DisksIgnoreSyncs,
    /// The number of tolerated faults in the views is 0.
    NoSpareReplicas,
    /// A store with an emptied disk has the same incarnation as before, and copies nothing.
    SameIncarnation,
    /// The control plane does not wait for transfers.
    SwitchesBeforeTransfer,
    /// Stores answer reservations with empty accounts.
    AccountsNotSent,
    /// Clocks of stores run 20 times too fast.
    FastClocks,
    /// Stores accept calls of any epoch.
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
    pub oracle: RefCell<Oracle>,
    pub tolerated_faults: u32,
    pub started: Instant,
    pub ended: Cell<bool>,
    /// Whether retired machines keep running instead of being removed.
    pub retains_retired: Cell<bool>,
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
            oracle: RefCell::default(),
            tolerated_faults,
            started: Instant::now(),
            ended: Cell::new(false),
            retains_retired: Cell::new(false),
        });
        (0..stores).for_each(|number| world.add_machine(number));
        world.publish_first_view();
        world
    }

    pub fn random_range(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.borrow_mut().random_range(range)
    }

    pub fn random_bool(&self, percent: u64) -> bool {
        self.rng.borrow_mut().random_bool(percent)
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}

/// The id of the store with this number.
pub fn store(number: u64) -> NodeId {
    NodeId::from(format!("store-{number}").as_str())
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
