//! Periodic review of the groups led here: lost members are replaced, so that all replicas are complete again before a
//! second loss.

use slog::info;

use super::thread::{GroupsThread, Undelivered};
use crate::links::channels::{PeerIndex, ToLinks};
use crate::placement::rank_voters;
use crate::replica::entry_context::MembershipChange;
use crate::replica::{MemberProgress, Replica};
use crate::wire::message::PeerMessage;
use crate::{GroupId, Incarnation, Purpose};

/// The maximum number of learners added by one change; high enough that a large fleet soon receives the control group's
/// log.
const MAX_LEARNERS_PER_CHANGE: usize = 16;

impl GroupsThread {
    /// Reviews all groups and peers.
    pub(super) fn review(&mut self, now: f64) {
        self.close_idle_links(now);
        for Undelivered { group, to } in std::mem::take(&mut self.undelivered) {
            self.with_replica(group, |replica, out| replica.report_unreachable(to, out));
        }
        // Messages produced by these reports are undeliverable as well.
        self.undelivered.clear();
        self.found_control_group(now);
        self.advance_foundings(now);
        for group in self.led_groups() {
            self.log_voters(group);
            self.invite_new_members(group);
            self.change_members(group, now);
        }
    }

    /// Returns the groups that this instance leads. Clears the logged voters of the other groups.
    fn led_groups(&mut self) -> Vec<GroupId> {
        let mut led = Vec::new();
        for (group, hosted) in &mut self.groups {
            if hosted.replica.is_leader() {
                led.push(*group);
            } else {
                hosted.logged_voters = None;
            }
        }
        led
    }

    /// Closes links that are open but have delivered nothing for the replacement timeout.
    fn close_idle_links(&mut self, now: f64) {
        for (peer, state) in self.peers.iter().enumerate() {
            let is_idle = now - state.received_at > self.instance.fleet.timing.replace;
            if state.connected.is_some() && is_idle {
                self.rings.links.send(ToLinks::CloseLink { peer });
            }
        }
    }

    /// Logs each change of the voters of a group led here once.
    fn log_voters(&mut self, group: GroupId) {
        let Some(hosted) = self.groups.get_mut(&group) else {
            return;
        };
        if !hosted.replica.is_membership_change_complete() {
            return;
        }
        let mut voters = hosted.replica.voters();
        voters.sort();
        if hosted.logged_voters.as_ref() == Some(&voters) {
            return;
        }
        let message = match hosted.replica.purpose() {
            Purpose::EventLog => "event log voters changed",
            Purpose::Control => "control group voters changed",
        };
        info!(self.instance.logger, "{message}"; "group" => %group, "voters" => voters.len());
        hosted.logged_voters = Some(voters);
    }

    /// Invites added members that have not acknowledged anything yet.
    fn invite_new_members(&mut self, group: GroupId) {
        let Some(hosted) = self.groups.get(&group) else {
            return;
        };
        let purpose = hosted.replica.purpose();
        let new_members = hosted
            .replica
            .member_progress()
            .into_iter()
            .filter(|member| member.is_new);
        for member in new_members {
            if let Some(peer) = self.peer_of(member.incarnation) {
                self.rings
                    .send_to_peer(peer, &PeerMessage::JoinGroup { group, purpose });
            }
        }
    }

    fn change_members(&mut self, group: GroupId, now: f64) {
        let Some(hosted) = self.groups.get(&group) else {
            return;
        };
        let changes = match hosted.replica.purpose() {
            Purpose::EventLog => self.event_log_changes(&hosted.replica, group, now),
            Purpose::Control => self.control_changes(&hosted.replica, now),
        };
        if !changes.is_empty() {
            self.with_replica(group, |replica, out| {
                replica.change_members(&changes, out);
            });
        }
    }

    /// Returns the changes for an event log's group, which has a fixed number of voters. To replace a lost voter, an
    /// instance is first added as a learner and then becomes a voter in the change that removes the lost voter.
    fn event_log_changes(
        &self,
        replica: &Replica,
        group: GroupId,
        now: f64,
    ) -> Vec<MembershipChange> {
        let Some(replication) = &self.instance.fleet.replication else {
            return Vec::new();
        };
        let members = replica.member_progress();
        let is_lost = |incarnation: Incarnation| {
            self.unreachable_for(incarnation, now) >= self.instance.fleet.timing.replace
        };
        let lost_voter = members
            .iter()
            .find(|member| member.is_voter && is_lost(member.incarnation));
        let voter_count = 1 + members.iter().filter(|member| member.is_voter).count();
        let is_voter_missing = lost_voter.is_some() || voter_count < replication.keepers + 1;
        if let Some(learner) = members.iter().find(|member| !member.is_voter) {
            if !is_voter_missing || is_lost(learner.incarnation) {
                return vec![MembershipChange::Remove(learner.incarnation)];
            }
            if !learner.is_up_to_date {
                return Vec::new();
            }
            return replace(lost_voter, learner);
        }
        if !is_voter_missing {
            return Vec::new();
        }
        let candidate = self.next_event_log_voter(replica, group, now);
        candidate
            .map(MembershipChange::AddLearner)
            .into_iter()
            .collect()
    }

    /// Returns the highest-ranked instance that is reachable, has capacity and is not a member.
    fn next_event_log_voter(
        &self,
        replica: &Replica,
        group: GroupId,
        now: f64,
    ) -> Option<Incarnation> {
        let instances = &self.instance.fleet.instances;
        let ranked = rank_voters(instances, self.instance.own_instance(), group.founder);
        ranked.into_iter().find_map(|peer: PeerIndex| {
            let incarnation = self.peers[peer].connected?;
            let has_capacity = self.peers[peer].capacity.free_bytes > 0;
            let is_candidate =
                !replica.is_member(incarnation) && self.is_reachable(peer, now) && has_capacity;
            is_candidate.then_some(incarnation)
        })
    }

    /// Returns the changes for the control group. All instances receive its log; the voters in the fleet file vote.
    fn control_changes(&self, replica: &Replica, now: f64) -> Vec<MembershipChange> {
        let members = replica.member_progress();
        let is_named = |member: &MemberProgress| {
            let peer = self.peer_of(member.incarnation);
            peer.map(|peer| self.instance.is_control_voter(peer))
        };
        let lost = members
            .iter()
            .find(|member| self.unreachable_for(member.incarnation, now).is_infinite());
        let named_learner =
            |member: &&MemberProgress| !member.is_voter && is_named(member) == Some(true);
        let successor = members
            .iter()
            .filter(|member| member.is_up_to_date)
            .find(named_learner);
        if let Some(successor) = successor {
            return replace(lost, successor);
        }
        if let Some(lost) = lost.filter(|member| !member.is_voter) {
            return vec![MembershipChange::Remove(lost.incarnation)];
        }
        let connected = self.peers.iter().filter_map(|peer| peer.connected);
        let learners: Vec<MembershipChange> = connected
            .filter(|incarnation| !replica.is_member(*incarnation))
            .take(MAX_LEARNERS_PER_CHANGE)
            .map(MembershipChange::AddLearner)
            .collect();
        if !learners.is_empty() {
            return learners;
        }
        // Remove a voter that the fleet file no longer lists, or else a lost voter, unless a learner that may replace
        // it is catching up.
        let unnamed = members
            .iter()
            .find(|member| member.is_voter && is_named(member) == Some(false));
        let is_successor_coming = members.iter().any(|member| named_learner(&member));
        let removed = match unnamed {
            Some(unnamed) => Some(unnamed),
            None => lost.filter(|_| !is_successor_coming),
        };
        removed
            .map(|member| MembershipChange::Remove(member.incarnation))
            .into_iter()
            .collect()
    }
}

/// Returns one change that makes `successor` a voter and removes `lost`, if any.
fn replace(lost: Option<&MemberProgress>, successor: &MemberProgress) -> Vec<MembershipChange> {
    let mut changes = vec![MembershipChange::AddVoter(successor.incarnation)];
    changes.extend(lost.map(|lost| MembershipChange::Remove(lost.incarnation)));
    changes
}
