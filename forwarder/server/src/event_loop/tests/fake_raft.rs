//! A fake of the Raft groups, and the ids of groups that this process and a peer founded.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use plankhill_decisions::interface::Ms;
use plankhill_raft_groups::{GroupId, GroupRequest, Incarnation};

use crate::raft::RaftClient;

/// Records requests to the groups; the tests set whether leases are held and whether there is
/// capacity.
#[derive(Clone, Default)]
pub(super) struct FakeGroups {
    pub(super) requests: Rc<RefCell<Vec<GroupRequest>>>,
    pub(super) holds_lease: Rc<Cell<bool>>,
    pub(super) has_capacity: Rc<Cell<bool>>,
}

impl RaftClient for FakeGroups {
    fn try_request(&mut self, request: GroupRequest) -> Result<(), GroupRequest> {
        self.requests.borrow_mut().push(request);
        Ok(())
    }
    fn holds_lease(&self, _: GroupId) -> bool {
        self.holds_lease.get()
    }
    fn has_capacity(&self) -> bool {
        self.has_capacity.get()
    }
    fn incarnation(&self) -> Incarnation {
        Incarnation(7)
    }
    fn feed_watchdog(&self) {}
    fn watchdog_timeout(&self) -> Option<Ms> {
        None
    }
}

pub(super) fn own_group(number: u32) -> GroupId {
    GroupId {
        founder: Incarnation(7),
        number,
    }
}

pub(super) fn peer_group(number: u32) -> GroupId {
    GroupId {
        founder: Incarnation(8),
        number,
    }
}
