//! Groups that end.

use super::thread::GroupsThread;
use crate::disk::thread::ToDisk;
use crate::replica::Replica;
use crate::{GroupEvent, GroupId};

impl GroupsThread {
    /// The group is dissolved, as committed here: nothing of it is kept. A leader stays until the others know.
    pub(super) fn on_dissolved(&mut self, group: GroupId) {
        let now = self.now();
        let Some(hosted) = self.groups.get_mut(&group) else {
            return;
        };
        let dissolved_at = *hosted.dissolved_at.get_or_insert(now);
        let is_known_to_all = || {
            hosted
                .replica
                .member_progress()
                .iter()
                .all(|member| member.knows_commit)
        };
        let has_waited = now - dissolved_at > self.instance.fleet.timing.replace;
        if !hosted.replica.is_leader() || has_waited || is_known_to_all() {
            self.forget_group(group);
        }
    }

    /// Forgets a group here, and remembers that it was here.
    pub(super) fn forget_group(&mut self, group: GroupId) {
        if self.groups.remove(&group).is_none() {
            return;
        }
        self.instance.leases.remove(group);
        self.outgoing_snapshots.retain(|(of, _), _| *of != group);
        self.dissolved.insert(group);
        self.rings.disk.send(ToDisk::RemoveGroup { group });
        self.rings.events.send(GroupEvent::Deposed { group });
    }

    /// Forgets the groups that were dissolved before the process was started.
    pub(super) fn forget_dissolved_groups(&mut self) {
        let groups = self.groups.iter();
        let dissolved = groups.filter(|(_, hosted)| hosted.replica.is_dissolved());
        let dissolved: Vec<GroupId> = dissolved.map(|(group, _)| *group).collect();
        for group in dissolved {
            self.forget_group(group);
        }
    }

    /// Whether this instance leads the group, or is not in it: then no other leader can say anything about it.
    pub(super) fn is_led_here_or_unknown(&self, group: GroupId) -> bool {
        self.groups
            .get(&group)
            .is_none_or(|hosted| Replica::is_leader(&hosted.replica))
    }
}
