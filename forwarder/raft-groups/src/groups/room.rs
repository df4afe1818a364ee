//! Caps of what is kept for others. An owner's takes end well below them, since what it holds still needs its
//! marks and ends, and only these make it smaller.

use std::sync::atomic::Ordering;

use crate::core::Core;
use crate::links::shared::Peer;
use crate::{GroupId, Purpose};

use super::state::Groups;

/// The share of the caps at which owners stop taking, and that at which logs are cut early.
const SOFT: f64 = 0.6;
const CUT: f64 = 0.3;

impl Groups {
    fn is_for_others(&self, group: &GroupId, core: &Core) -> bool {
        core.purpose == Purpose::EventLog
            && core.leads().is_none()
            && group.founder != self.incarnation()
    }

    /// Bytes of memory and disk that are kept for others.
    fn kept_for_others(&self) -> (u64, u64) {
        let kept = self
            .cores
            .iter()
            .filter(|(group, core)| self.is_for_others(group, core));
        kept.fold((0, 0), |(memory, disk), (group, core)| {
            let on_disk = self.disk_bytes.get(group).copied().unwrap_or_default();
            (memory + core.size() as u64, disk + on_disk)
        })
    }

    /// Bytes left of the share of the caps.
    fn left(&self, share: f64) -> u64 {
        let Some(copies) = &self.fleet.replication else {
            return u64::MAX;
        };
        let (memory, disk) = self.kept_for_others();
        let left = |cap: u64, kept: u64| ((cap as f64 * share) as u64).saturating_sub(kept);
        left(copies.memory, memory).min(left(copies.disk, disk))
    }

    /// What owners are told: bytes that they may add to.
    pub(super) fn left_for_takes(&self) -> u64 {
        self.left(SOFT)
    }

    /// At the caps nothing more is kept. What is kept stays.
    pub(super) fn is_full(&self) -> bool {
        self.left(1.0) == 0
    }

    /// Logs hold what has ended already: they are cut before anything is refused for the room they take.
    pub(super) fn make_room(&mut self) {
        if self.left(CUT) > 0 {
            return;
        }
        let groups = self
            .cores
            .iter()
            .filter(|(group, core)| self.is_for_others(group, core));
        let groups: Vec<GroupId> = groups.map(|(group, _)| *group).collect();
        for group in groups {
            let on_disk = self.disk_bytes.get(&group).copied().unwrap_or_default();
            self.with(group, |core, out| core.cut_early(on_disk, out));
        }
    }

    /// One has told how much is left, of which proposals that it had not heard yet may have used some.
    pub(super) fn has_left(&mut self, peer: Peer, left: u64) {
        let state = &mut self.peers[peer];
        state.left = left;
        state.left_at = state.beat_at;
        state.beat_at = self.proposed;
    }

    /// Up to how many bytes of commands, counted from the start, a majority of each led group has room.
    pub(super) fn tell_room(&mut self, now: f64) {
        let mut most = u64::MAX;
        for core in self
            .cores
            .values()
            .filter(|c| c.leads().is_some() && c.purpose == Purpose::EventLog)
        {
            let (voters, _) = core.members();
            let until = |who| match self.peer_of(who).filter(|at| self.is_there(*at, now)) {
                Some(at) => self.peers[at].left_at.saturating_add(self.peers[at].left),
                None => 0,
            };
            let others = voters.iter().filter(|who| **who != self.incarnation());
            let mut room: Vec<u64> = others.map(|who| until(*who)).collect();
            room.sort_by(|a, b| b.cmp(a));
            // With itself, so many others are a majority.
            let needed = voters.len() / 2;
            most = most.min(
                needed
                    .checked_sub(1)
                    .and_then(|at| room.get(at).copied())
                    .unwrap_or(u64::MAX),
            );
        }
        self.rings.room.store(most, Ordering::Release);
    }
}
