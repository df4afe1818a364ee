//! The stand-in for the groups that keep copies, and the names of two founders' groups.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use plankhill_decisions::interface::*;
use plankhill_raft_groups::{GroupId, GroupRequest, Incarnation};

use crate::ground::Fleet;

/// What the forwarder ordered, and whether it holds what it leads.
#[derive(Clone, Default)]
pub(super) struct StandIn {
    pub(super) orders: Rc<RefCell<Vec<GroupRequest>>>,
    pub(super) holds: Rc<Cell<bool>>,
    pub(super) has_room: Rc<Cell<bool>>,
}

impl Fleet for StandIn {
    fn try_order(&mut self, order: GroupRequest) -> Result<(), GroupRequest> {
        self.orders.borrow_mut().push(order);
        Ok(())
    }
    fn holds(&self, _: GroupId) -> bool {
        self.holds.get()
    }
    fn room(&self) -> bool {
        self.has_room.get()
    }
    fn incarnation(&self) -> Incarnation {
        Incarnation(7)
    }
    fn alive(&self) {}
    fn stall(&self) -> Option<Ms> {
        None
    }
}

pub(super) fn own(number: u32) -> GroupId {
    GroupId {
        founder: Incarnation(7),
        number,
    }
}

pub(super) fn others(number: u32) -> GroupId {
    GroupId {
        founder: Incarnation(8),
        number,
    }
}
