//! What a leader does about its members: one that has gone is replaced, so that a second loss finds the copies
//! made up.

use slog::info;

use crate::core::stamp::Change;
use crate::links::shared::Peer;
use crate::wire::said::Said;
use crate::{roll, GroupId, Incarnation, Purpose};

use super::state::Groups;

/// Let in by one change: a large fleet hears its control group soon.
const LEARNERS: usize = 16;

impl Groups {
    pub(super) fn review(&mut self, now: f64) {
        self.silent_peers(now);
        for (group, who) in std::mem::take(&mut self.unsent) {
            self.with(group, |core, out| core.unreachable(who, out));
        }
        self.unsent.clear();
        self.found_control(now);
        self.foundings_go_on(now);
        let led: Vec<GroupId> = self
            .cores
            .iter()
            .filter(|(_, c)| c.leads().is_some())
            .map(|(g, _)| *g)
            .collect();
        self.voters_told.retain(|group, _| led.contains(group));
        for group in led {
            self.tell_voters(group);
            self.join(group);
            let changes = match self.cores.get(&group).map(|core| core.purpose) {
                Some(Purpose::EventLog) => self.record_changes(group, now),
                Some(Purpose::Control) => self.control_changes(group, now),
                None => continue,
            };
            if !changes.is_empty() {
                self.with(group, |core, out| {
                    core.change(&changes, out);
                });
            }
        }
    }

    /// A link that stands but brings nothing is no link.
    fn silent_peers(&mut self, now: f64) {
        for peer in 0..self.peers.len() {
            if self.peers[peer].up.is_some()
                && now - self.peers[peer].heard > self.fleet.timing.replace
            {
                self.rings
                    .links
                    .send(crate::links::shared::ToLinks::HangUp { peer });
            }
        }
    }

    /// One line for each change of who keeps a group that is led here.
    fn tell_voters(&mut self, group: GroupId) {
        let Some(core) = self.cores.get(&group) else {
            return;
        };
        let (mut voters, _) = core.members();
        voters.sort();
        if !core.is_settled() || self.voters_told.get(&group) == Some(&voters) {
            return;
        }
        let what = match core.purpose {
            Purpose::EventLog => "a record is kept by",
            Purpose::Control => "the control group is kept by",
        };
        let id = format!("{:016x}-{}", group.founder.0, group.number);
        info!(self.log, "{what}"; "group" => id, "voters" => voters.len());
        self.voters_told.insert(group, voters);
    }

    /// Those that are to learn of the group, and have not spoken yet.
    fn join(&mut self, group: GroupId) {
        let Some(core) = self.cores.get(&group) else {
            return;
        };
        let purpose = core.purpose;
        let new: Vec<Incarnation> = core
            .seen()
            .iter()
            .filter(|s| s.new)
            .map(|s| s.who)
            .collect();
        for who in new {
            if let Some(peer) = self.peer_of(who) {
                self.say(peer, &Said::Join { group, purpose });
            }
        }
    }

    fn record_changes(&self, group: GroupId, now: f64) -> Vec<Change> {
        let (Some(core), Some(copies)) = (self.cores.get(&group), &self.fleet.replication) else {
            return Vec::new();
        };
        let seen = core.seen();
        let gone = |who: Incarnation| self.away(who, now) >= self.fleet.timing.replace;
        let lost = seen.iter().find(|s| s.voter && gone(s.who)).map(|s| s.who);
        let voters = 1 + seen.iter().filter(|s| s.voter).count();
        let missing = lost.is_some() || voters < copies.keepers + 1;
        if let Some(learner) = seen.iter().find(|s| !s.voter) {
            if !missing || gone(learner.who) {
                return vec![Change::Remove(learner.who)];
            }
            if !learner.up_to_date {
                return Vec::new();
            }
            let mut changes = vec![Change::Voter(learner.who)];
            changes.extend(lost.map(Change::Remove));
            return changes;
        }
        if !missing {
            return Vec::new();
        }
        let all = &self.fleet.instances;
        let may = |at: &Peer| {
            let up = self.peers[*at].up.filter(|who| !core.is_member(*who));
            up.filter(|_| self.is_there(*at, now) && self.peers[*at].left > 0)
        };
        let next = roll::keepers(all, &all[self.me], group.founder)
            .iter()
            .find_map(may);
        next.map(Change::Learner).into_iter().collect()
    }

    /// All instances hear the control group's log; those named vote.
    fn control_changes(&self, group: GroupId, now: f64) -> Vec<Change> {
        let Some(core) = self.cores.get(&group) else {
            return Vec::new();
        };
        let named = |at: Peer| self.fleet.voters.contains(&self.fleet.instances[at].name);
        let seen = core.seen();
        let old = seen.iter().find(|s| self.away(s.who, now) == f64::INFINITY);
        let heir = seen
            .iter()
            .find(|s| !s.voter && s.up_to_date && self.peer_of(s.who).is_some_and(named));
        if let Some(heir) = heir {
            let mut changes = vec![Change::Voter(heir.who)];
            changes.extend(old.map(|old| Change::Remove(old.who)));
            return changes;
        }
        if let Some(old) = old.filter(|s| !s.voter) {
            return vec![Change::Remove(old.who)];
        }
        let ups = self
            .peers
            .iter()
            .filter_map(|p| p.up)
            .filter(|who| !core.is_member(*who));
        let next: Vec<Change> = ups.take(LEARNERS).map(Change::Learner).collect();
        if !next.is_empty() {
            return next;
        }
        // No longer named, or nowhere any more and nobody on the way to its place.
        let coming = seen
            .iter()
            .any(|s| !s.voter && self.peer_of(s.who).is_some_and(named));
        let surplus = seen
            .iter()
            .find(|s| s.voter && self.peer_of(s.who).is_some_and(|at| !named(at)));
        surplus
            .or(old.filter(|_| !coming))
            .map(|s| Change::Remove(s.who))
            .into_iter()
            .collect()
    }
}
