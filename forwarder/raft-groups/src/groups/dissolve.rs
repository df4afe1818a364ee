//! Removal of groups.

use super::thread::GroupsThread;
use crate::disk::thread::ToDisk;
use crate::replica::Replica;
use crate::{GroupEvent, GroupId};

impl GroupsThread {
    /// Removes a group whose dissolution is committed here. A leader keeps the group until the dissolution
    /// is committed on all other members or the replacement timeout has passed.
    pub(super) fn on_dissolved(&mut self, group: GroupId) {
        let now = self.now();
        let Some(hosted) = self.groups.get_mut(&group) else {
            return;
        };
        let dissolved_at = *hosted.dissolved_at.get_or_insert(now);
        let is_commit_current_everywhere = || {
            hosted
                .replica
                .member_progress()
                .iter()
                .all(|member| member.is_commit_current)
        };
        let has_timed_out = now - dissolved_at > self.instance.fleet.timing.replace;
        if !hosted.replica.is_leader() || has_timed_out || is_commit_current_everywhere() {
            self.remove_group(group);
        }
    }

    /// Removes a group from this instance and records its removal.
    pub(super) fn remove_group(&mut self, group: GroupId) {
        if self.groups.remove(&group).is_none() {
            return;
        }
        self.instance.leases.remove(group);
        self.outgoing_snapshots.retain(|(of, _), _| *of != group);
        self.dissolved.insert(group);
        self.rings.disk.send(ToDisk::RemoveGroup { group });
        self.rings.events.send(GroupEvent::Deposed { group });
    }

    /// Removes the groups that were dissolved before the process started.
    pub(super) fn remove_dissolved_groups(&mut self) {
        let groups = self.groups.iter();
        let dissolved = groups.filter(|(_, hosted)| hosted.replica.is_dissolved());
        let dissolved: Vec<GroupId> = dissolved.map(|(group, _)| *group).collect();
        for group in dissolved {
            self.remove_group(group);
        }
    }

    /// Whether this instance leads the group or has no replica of it; messages from other instances about its
    /// membership or removal are ignored in both cases.
    pub(super) fn is_led_here_or_unknown(&self, group: GroupId) -> bool {
        self.groups
            .get(&group)
            .is_none_or(|hosted| Replica::is_leader(&hosted.replica))
    }
}
