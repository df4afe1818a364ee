//! The forwarder's side of its fleet, where one is named: orders to it, its news to the decisions, and the
//! word that the loop lives, without which the kernel ends the process.

use std::cell::{Cell, RefCell};

use plankhill_decisions::interface::Ms;
use plankhill_forwarder_config::{fields::Plain, ForwarderConfig};
use plankhill_raft_groups::{
    start, GroupEventStream, GroupId, GroupRequest, Incarnation, Purpose, RaftGroups, StartOptions,
    StateMachine,
};
use plankhill_replication::LocalReplicas;
use slog::{info, Logger};

use crate::budgets::control::Control as Leases;
use crate::fanout::Control as Lists;

/// What the forwarder asks of its fleet: the handle of one, or a story's stand-in.
pub trait Fleet {
    fn try_order(&mut self, order: GroupRequest) -> Result<(), GroupRequest>;
    fn holds(&self, group: GroupId) -> bool;
    fn room(&self) -> bool;
    fn incarnation(&self) -> Incarnation;
    fn alive(&self);
    fn stall(&self) -> Option<Ms>;
}

impl Fleet for RaftGroups {
    fn try_order(&mut self, order: GroupRequest) -> Result<(), GroupRequest> {
        self.try_order(order)
    }
    fn holds(&self, group: GroupId) -> bool {
        self.holds(group)
    }
    fn room(&self) -> bool {
        self.room()
    }
    fn incarnation(&self) -> Incarnation {
        self.incarnation()
    }
    fn alive(&self) {
        self.alive();
    }
    fn stall(&self) -> Option<Ms> {
        self.stall()
    }
}

pub struct Ground {
    pub handle: RefCell<Box<dyn Fleet>>,
    /// What a process may stand still for, in milliseconds.
    pub stall: Ms,
    /// Whether records are copied: without it the fleet serves other ends.
    pub copies: bool,
    /// The group in which new events are taken.
    pub own: Cell<Option<GroupId>>,
    /// The records that it keeps, its own and others'.
    pub kept: LocalReplicas,
}

impl Ground {
    /// None, and nothing is started, where no fleet file is named.
    pub fn start(
        told: &ForwarderConfig,
        log: &Logger,
    ) -> Plain<Option<(Ground, GroupEventStream)>> {
        let Some(fleet) = told.fleet.clone() else {
            return Ok(None);
        };
        let (stall, copies) = (fleet.timing.stall, fleet.replication.is_some());
        let (name, folder) = (told.name.clone(), told.state_folder.join("fleet"));
        let lists = told.fanout.is_some();
        let kept = LocalReplicas::default();
        let here = kept.clone();
        let machines = Box::new(move |purpose| machine(&here, purpose, lists));
        let begun = start(StartOptions {
            fleet,
            name,
            folder,
            log: log.clone(),
            state_machines: machines,
        });
        let (handle, news) = begun.map_err(|e| format!("PROXY_FLEET: {e}"))?;
        info!(log, "is an instance of a fleet"; "incarnation" => handle.incarnation().0, "copies" => copies);
        Ok(Some((
            Ground {
                handle: RefCell::new(Box::new(handle)),
                stall,
                copies,
                own: Cell::default(),
                kept,
            },
            news,
        )))
    }

    /// It comes back when there is no room for it now.
    pub fn order(&self, order: GroupRequest) -> Result<(), GroupRequest> {
        self.handle.borrow_mut().try_order(order)
    }

    /// Whether nobody else can own the group yet: asked before a call's first byte.
    pub fn holds(&self, group: GroupId) -> bool {
        self.handle.borrow().holds(group)
    }

    /// Whether what is new may be taken, as far as groups and their keepers go.
    pub fn takes(&self) -> bool {
        self.own.get().is_some_and(|own| self.holds(own)) && self.has_room()
    }

    /// Whether keepers have room for more.
    pub fn has_room(&self) -> bool {
        self.handle.borrow().room()
    }

    pub fn incarnation(&self) -> Incarnation {
        self.handle.borrow().incarnation()
    }
}

/// `lists`: what the control group keeps is lists and broadcasts, else the book of leases.
fn machine(kept: &LocalReplicas, purpose: Purpose, lists: bool) -> Box<dyn StateMachine> {
    match purpose {
        Purpose::EventLog => Box::new(kept.new_state_machine()),
        Purpose::Control if lists => Box::new(Lists::default()),
        Purpose::Control => Box::new(Leases::default()),
    }
}
