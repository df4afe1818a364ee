//! Creation of groups: the founder stores the group's number and selects voters, each voter creates its file, and the
//! founder becomes the leader.

use super::hosted_group::{CreatingGroup, HostedGroup};
use super::pending_founding::PendingFounding;
use super::pending_stores::AfterStore;
use super::thread::GroupsThread;
use crate::disk::thread::ToDisk;
use crate::founding::{FoundingObservation, FoundingStep};
use crate::links::channels::{PeerIndex, ToLinks};
use crate::placement::rank_voters;
use crate::replica::{PersistedState, Replica};
use crate::wire::message::PeerMessage;
use crate::{GroupId, Purpose};

/// The maximum number of groups on an instance.
const MAX_GROUPS: usize = 4096;

impl GroupsThread {
    /// Begins to found a group: stores the group's number before the number is used.
    pub(super) fn found_group(&mut self, purpose: Purpose, now: f64) {
        let number = self.identity.next_group;
        self.identity.next_group += 1;
        let token = self.stores.next_token();
        self.rings.disk.send(ToDisk::StoreIdentity {
            identity: self.identity.clone(),
            token,
        });
        self.foundings.push(PendingFounding::new(purpose, now));
        self.stores
            .wait_for(token, AfterStore::FoundGroup { number });
    }

    /// Continues the first founding without a number, since numbers are stored in the order of the foundings.
    pub(super) fn on_number_stored(&mut self, number: u32) {
        let group = GroupId {
            founder: self.incarnation(),
            number,
        };
        if let Some(founding) = self
            .foundings
            .iter_mut()
            .find(|founding| founding.group.is_none())
        {
            founding.group = Some(group);
        }
        let now = self.now();
        self.advance_foundings(now);
    }

    /// Performs the next step of each founding.
    pub(super) fn advance_foundings(&mut self, now: f64) {
        let mut to_found = Vec::new();
        for mut founding in std::mem::take(&mut self.foundings) {
            let Some(group) = founding.group else {
                self.foundings.push(founding);
                continue;
            };
            if founding.voters.is_empty() {
                self.choose_voters(&mut founding, group, now);
            }
            if founding.voters.is_empty() {
                self.foundings.push(founding);
                continue;
            }
            match self.observe_founding(&founding, group, now).next_step() {
                FoundingStep::Done => {}
                FoundingStep::FoundAnother => to_found.push(founding.purpose),
                FoundingStep::RemoveAndFoundAnother => {
                    self.remove_group(group);
                    to_found.push(founding.purpose);
                }
                FoundingStep::Continue => {
                    self.invite_voters(&founding, group);
                    self.campaign(group);
                    self.foundings.push(founding);
                }
            }
        }
        for purpose in to_found {
            self.found_group(purpose, now);
        }
    }

    fn campaign(&mut self, group: GroupId) {
        self.with_replica(group, |replica, out| {
            if replica.leader().is_none() {
                replica.campaign(out);
            }
        });
    }

    /// Records that this instance leads a group that it founded, so that the founding counts as complete even if it is
    /// checked later.
    pub(super) fn record_led_here(&mut self, group: GroupId) {
        if group.founder == self.incarnation() {
            self.led_here.insert(group);
        }
    }

    fn observe_founding(
        &self,
        founding: &PendingFounding,
        group: GroupId,
        now: f64,
    ) -> FoundingObservation {
        let replica = self.groups.get(&group).map(|hosted| &hosted.replica);
        let is_led = replica.is_some_and(Replica::is_leader);
        let leader = replica.and_then(Replica::leader);
        let is_late = now - founding.requested_at > 3.0 * self.instance.fleet.timing.replace;
        FoundingObservation {
            was_led_here: is_led || self.led_here.contains(&group),
            is_removed: self.dissolved.contains(&group),
            is_led_by_another: leader.is_some_and(|leader| leader != self.incarnation()),
            has_lost_voters: is_late && !self.is_majority_connected(founding),
        }
    }

    fn is_majority_connected(&self, founding: &PendingFounding) -> bool {
        let connected = founding
            .voters
            .iter()
            .filter(|voter| **voter == self.incarnation() || self.peer_of(**voter).is_some());
        2 * connected.count() > founding.voters.len()
    }

    fn invite_voters(&mut self, founding: &PendingFounding, group: GroupId) {
        let purpose = founding.purpose;
        for voter in &founding.voters {
            if let Some(peer) = self.peer_of(*voter) {
                let voters = founding.voters.clone();
                self.rings.send_to_peer(
                    peer,
                    &PeerMessage::FoundGroup {
                        group,
                        purpose,
                        voters,
                    },
                );
            }
        }
    }

    /// Selects the voters if enough are reachable, and creates the group on this instance.
    fn choose_voters(&mut self, founding: &mut PendingFounding, group: GroupId, now: f64) {
        let is_late = now - founding.requested_at > self.instance.fleet.timing.replace;
        let others = match founding.purpose {
            Purpose::EventLog => self.choose_event_log_voters(group, is_late, now),
            Purpose::Control => self.choose_control_voters(now),
        };
        let Some(others) = others else {
            return;
        };
        founding.voters = vec![self.incarnation()];
        founding
            .voters
            .extend(others.iter().filter_map(|peer| self.peers[*peer].connected));
        let state_machine = (self.instance.state_machines)(founding.purpose);
        let state = PersistedState::founded(&founding.voters, &*state_machine);
        self.create_group(group, founding.purpose, state);
    }

    /// Returns the highest-ranked instances if all of them are reachable. Once the founding is late, returns the
    /// highest-ranked among the reachable instances that have capacity.
    fn choose_event_log_voters(
        &self,
        group: GroupId,
        is_late: bool,
        now: f64,
    ) -> Option<Vec<PeerIndex>> {
        let wanted = self.instance.fleet.replication.as_ref()?.keepers;
        let instances = &self.instance.fleet.instances;
        let mut ranked = rank_voters(instances, self.instance.own_instance(), group.founder);
        if is_late {
            ranked.retain(|peer| {
                self.is_reachable(*peer, now) && self.peers[*peer].capacity.free_bytes > 0
            });
        }
        ranked.truncate(wanted);
        let are_reachable = ranked.iter().all(|peer| self.is_reachable(*peer, now));
        if ranked.len() == wanted && are_reachable {
            Some(ranked)
        } else {
            None
        }
    }

    /// Returns the reachable voters in the fleet file if they form a majority of all voters in it, so that any earlier
    /// control group is known to at least one of them.
    fn choose_control_voters(&self, now: f64) -> Option<Vec<PeerIndex>> {
        if self.control.is_some() || self.peers.iter().any(|peer| peer.control.is_some()) {
            return None;
        }
        let reachable: Vec<PeerIndex> = (0..self.peers.len())
            .filter(|peer| self.instance.is_control_voter(*peer) && self.is_reachable(*peer, now))
            .collect();
        // The sum includes this instance.
        if 2 * (reachable.len() + 1) > self.instance.fleet.voters.len() {
            Some(reachable)
        } else {
            None
        }
    }

    /// Founds the control group once, by the first voter in the fleet file, if the settings permit it.
    pub(super) fn found_control_group(&mut self, now: f64) {
        let fleet = &self.instance.fleet;
        let is_first_voter = fleet.voters.first() == Some(&self.instance.own_instance().name);
        let is_founding = self
            .foundings
            .iter()
            .any(|founding| founding.purpose == Purpose::Control);
        if fleet.may_create_control_group
            && is_first_voter
            && !is_founding
            && self.choose_control_voters(now).is_some()
        {
            self.found_group(Purpose::Control, now);
        }
    }

    /// Whether another instance may make this one a member of the group.
    pub(super) fn may_create(&self, group: GroupId, purpose: Purpose) -> bool {
        let is_known = self.groups.contains_key(&group)
            || self.creating.contains_key(&group)
            || self.dissolved.contains(&group);
        let is_allowed = match purpose {
            Purpose::EventLog => self.instance.fleet.replication.is_some(),
            Purpose::Control => self.control.is_none_or(|control| control == group),
        };
        let is_full = self.groups.len() + self.creating.len() >= MAX_GROUPS;
        !is_known && is_allowed && !is_full && group.number != 0
    }

    /// Requests the creation of the group's file.
    pub(super) fn create_group(&mut self, group: GroupId, purpose: Purpose, state: PersistedState) {
        let on_disk = PersistedState {
            base: state.base.clone(),
            hard_state: state.hard_state,
            ..PersistedState::default()
        };
        self.creating
            .insert(group, CreatingGroup { purpose, state });
        self.rings.disk.send(ToDisk::CreateGroup {
            group,
            purpose,
            state: on_disk,
        });
    }

    /// Starts the replica of a group whose file is synced.
    pub(super) fn on_group_created(&mut self, group: GroupId) {
        let Some(CreatingGroup { purpose, state }) = self.creating.remove(&group) else {
            return;
        };
        let state_machine = (self.instance.state_machines)(purpose);
        let timing = self.instance.timing;
        let replica = Replica::new(
            group,
            purpose,
            self.incarnation(),
            state,
            state_machine,
            timing,
        );
        let Ok(replica) = replica else {
            return;
        };
        if purpose == Purpose::Control {
            self.control = Some(group);
            let hello = self.hello_to(self.instance.me);
            self.rings.links.send(ToLinks::SetHello(hello));
        }
        let lease = self.instance.leases.lease_of(group);
        self.groups.insert(group, HostedGroup::new(replica, lease));
        let now = self.now();
        self.advance_foundings(now);
    }
}
