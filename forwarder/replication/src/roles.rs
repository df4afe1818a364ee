//! Which groups this instance owns. New events are accepted in one group that it founded itself. In other
//! groups, which it led before or was elected to lead, pending events stay until they are completed. The
//! forwarder's event loop owns the [`GroupRoles`] and carries out the requests that they return.

use std::collections::BTreeSet;

use plankhill_raft_groups::{GroupId, GroupRequest, Incarnation, Purpose};

/// The role of an instance that was elected to lead a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderRole {
    /// New events are accepted in it.
    Own,
    /// Its pending events are completed, and no event is added.
    Adopted,
}

/// The groups that this instance leads, and the peers that it can reach.
#[derive(Debug)]
pub struct GroupRoles {
    me: Incarnation,
    own: Option<GroupId>,
    led: BTreeSet<GroupId>,
    /// A group was requested and is not led yet.
    is_creating: bool,
    reachable_peers: BTreeSet<Incarnation>,
}

impl GroupRoles {
    /// The roles of an instance that leads nothing yet.
    pub fn new(me: Incarnation) -> Self {
        GroupRoles {
            me,
            own: None,
            led: BTreeSet::new(),
            is_creating: false,
            reachable_peers: BTreeSet::new(),
        }
    }

    /// The request for a group of its own, if it has none and none is being created. A new incarnation
    /// accepts events in a new group: the leader of an earlier one completes the events that are pending
    /// there.
    pub fn create_own_group(&mut self) -> Option<GroupRequest> {
        if self.own.is_some() || self.is_creating {
            return None;
        }
        self.is_creating = true;
        Some(GroupRequest::Create {
            purpose: Purpose::EventLog,
        })
    }

    /// A majority has elected this instance to lead `group`. The newest group that it founded itself becomes
    /// its own.
    pub fn on_elected(&mut self, group: GroupId) -> LeaderRole {
        self.led.insert(group);
        let is_newest = self.own.is_none_or(|own| own.number <= group.number);
        if group.founder != self.me || !is_newest {
            return LeaderRole::Adopted;
        }
        self.own = Some(group);
        self.is_creating = false;
        LeaderRole::Own
    }

    /// Another instance may lead the group. If it was its own group, returns the request for a new one, which
    /// accepts events as soon as it has a majority.
    pub fn on_deposed(&mut self, group: GroupId) -> Option<GroupRequest> {
        self.led.remove(&group);
        if self.own != Some(group) {
            return None;
        }
        self.own = None;
        self.create_own_group()
    }

    /// The group in which new events are accepted.
    pub fn own_group(&self) -> Option<GroupId> {
        self.own
    }

    /// The groups that this instance leads.
    pub fn led_groups(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.led.iter().copied()
    }

    /// Whether this instance leads the group.
    pub fn is_led(&self, group: GroupId) -> bool {
        self.led.contains(&group)
    }

    /// Records whether another instance can be reached.
    pub fn set_peer_reachable(&mut self, peer: Incarnation, is_reachable: bool) {
        if is_reachable {
            self.reachable_peers.insert(peer);
        } else {
            self.reachable_peers.remove(&peer);
        }
    }

    /// Whether a new event has to wait for events of its order key in `group`, of which a replica is kept
    /// here. `owner` is the last proposer in the group, and `has_key` is whether an event of that key is
    /// pending, as far as the replica knows.
    ///
    /// Pending events come first if the group has lost its first owner, or is about to, and is not led here.
    /// A group that this instance owned and lost may have more committed events than the replica has, until
    /// another owner has proposed in it.
    pub fn blocks_order_key(&self, group: GroupId, owner: Incarnation, has_key: bool) -> bool {
        if self.is_led(group) {
            return false;
        }
        let founded_here = group.founder == self.me;
        let may_have_unseen_events = founded_here && owner == self.me;
        let lost_its_owner = founded_here
            || owner != group.founder
            || !self.reachable_peers.contains(&group.founder);
        may_have_unseen_events || (lost_its_owner && has_key)
    }

    /// No event is pending in the group any more: returns the request to dissolve it, if it is an adopted
    /// one.
    pub fn on_group_emptied(&mut self, group: GroupId) -> Option<GroupRequest> {
        if self.own == Some(group) || !self.led.remove(&group) {
            return None;
        }
        Some(GroupRequest::Dissolve { group })
    }
}
