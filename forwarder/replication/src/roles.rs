//! Which records this instance owns. It has one group of its own, in which what is new is taken; others it
//! led before, or was elected to lead, hold what they hold until that has ended.

use std::collections::BTreeSet;

use plankhill_raft_groups::{GroupId, GroupRequest, Incarnation, Purpose};

/// What a group is to the instance that came to lead it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderRole {
    /// New events are taken here.
    Own,
    /// What is in it is brought to its end, and nothing is added.
    Adopted,
}

#[derive(Debug)]
pub struct GroupRoles {
    me: Incarnation,
    own: Option<GroupId>,
    led: BTreeSet<GroupId>,
    /// A group was ordered and is not led yet.
    founding: bool,
    /// Other instances that can be reached.
    up: BTreeSet<Incarnation>,
}

impl GroupRoles {
    pub fn new(me: Incarnation) -> Self {
        GroupRoles {
            me,
            own: None,
            led: BTreeSet::new(),
            founding: false,
            up: BTreeSet::new(),
        }
    }

    /// A new life takes what is new in a new group: whoever leads an earlier one ends what is in it.
    pub fn create_own_group(&mut self) -> Option<GroupRequest> {
        let founds = self.own.is_none() && !self.founding;
        self.founding |= founds;
        founds.then_some(GroupRequest::Create {
            purpose: Purpose::EventLog,
        })
    }

    /// Elected by a majority. Of the groups that it founded itself the newest is its own.
    pub fn on_elected(&mut self, group: GroupId) -> LeaderRole {
        self.led.insert(group);
        let newest = self.own.is_none_or(|own| own.number <= group.number);
        if group.founder != self.me || !newest {
            return LeaderRole::Adopted;
        }
        self.own = Some(group);
        self.founding = false;
        LeaderRole::Own
    }

    /// Another may lead the group. What is new goes to a new one, as soon as there is a majority for it.
    pub fn on_deposed(&mut self, group: GroupId) -> Option<GroupRequest> {
        self.led.remove(&group);
        if self.own != Some(group) {
            return None;
        }
        self.own = None;
        self.create_own_group()
    }

    /// The group where new events are taken.
    pub fn own_group(&self) -> Option<GroupId> {
        self.own
    }

    pub fn led_groups(&self) -> impl Iterator<Item = GroupId> + '_ {
        self.led.iter().copied()
    }

    pub fn is_led(&self, group: GroupId) -> bool {
        self.led.contains(&group)
    }

    pub fn set_peer_reachable(&mut self, who: Incarnation, up: bool) {
        match up {
            true => self.up.insert(who),
            false => self.up.remove(&who),
        };
    }

    /// Whether an event of a key that is new here has to wait for the group, of which a copy is kept here:
    /// `owner` proposed in it last, and it `holds` an event of that key, as far as this copy knows. It does
    /// where the group has lost its first owner, or is about to, and is not led here. One that this instance
    /// owned and lost may have more committed than it knows, until somebody has gone on with it.
    pub fn blocks_order_key(&self, group: GroupId, owner: Incarnation, holds: bool) -> bool {
        let unsure = group.founder == self.me && owner == self.me;
        let gone =
            group.founder == self.me || owner != group.founder || !self.up.contains(&group.founder);
        !self.is_led(group) && (unsure || gone && holds)
    }

    /// Nothing is left in an adopted group.
    pub fn on_group_emptied(&mut self, group: GroupId) -> Option<GroupRequest> {
        let goes = self.own != Some(group) && self.led.remove(&group);
        goes.then_some(GroupRequest::Dissolve { group })
    }
}
