//! A simulated deployment in virtual time: stores, the control plane as far as stores see it, and proxies.
//! A seed determines everything that happens.

// Each test uses its part of the world.
#![allow(dead_code)]

pub mod control;
pub mod faults;
pub mod machine;
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

/// Something in the world that is broken on purpose: the checks must see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    Nothing,
    /// Disks say that they have synced before they have.
    DisksIgnoreSyncs,
    /// Stores are told that no store may be lost.
    NoSpareCopies,
    /// A store whose disk is empty calls itself what it was before, and copies nothing.
    SameIncarnation,
    /// The control plane does not wait for copies.
    SwitchesAtOnce,
    /// Stores do not tell each other of reservations.
    AccountsUntold,
    /// Clocks run 20 times too fast.
    FastClocks,
    /// Stores do not refuse calls of older views.
    NoFence,
    /// What stores send to others as repairs is lost, and they copy nothing.
    NoRepairs,
}

pub struct World {
    pub plant: Plant,
    pub rng: RefCell<Rng>,
    pub machines: RefCell<BTreeMap<NodeId, Machine>>,
    pub network: RefCell<Network>,
    pub view: RefCell<StoreView>,
    pub retired: RefCell<Vec<NodeId>>,
    pub programs: RefCell<Programs>,
    pub faults: u32,
    pub started: Instant,
    pub ended: Cell<bool>,
    /// Whether retired machines stay for a while.
    pub keeps_retired: Cell<bool>,
}

impl World {
    pub fn new(seed: u64, stores: u64, faults: u32, plant: Plant) -> Rc<Self> {
        let world = Rc::new(World {
            plant,
            rng: RefCell::new(Rng::new(seed)),
            machines: RefCell::default(),
            network: RefCell::default(),
            view: RefCell::default(),
            retired: RefCell::default(),
            programs: RefCell::default(),
            faults,
            started: Instant::now(),
            ended: Cell::new(false),
            keeps_retired: Cell::new(false),
        });
        (0..stores).for_each(|number| world.add_machine(number));
        world.found();
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

/// Runs a story in virtual time.
pub fn run<T>(story: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), story)
}
