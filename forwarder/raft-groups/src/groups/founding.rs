//! New groups: the number is noted first, then keepers are chosen, then all make it, then its founder leads it.

use crate::core::{Core, Kept};
use crate::course::{course, Course, Sighting};
use crate::disk::thread::ToDisk;
use crate::links::shared::Peer;
use crate::wire::said::Said;
use crate::{roll, GroupId, Incarnation, Purpose};

use super::peers::Noting;
use super::state::Groups;

/// A group on its way to its first leader.
pub struct Founding {
    purpose: Purpose,
    begun: f64,
    /// Its number, once noted.
    group: Option<GroupId>,
    asked: bool,
    voters: Vec<Incarnation>,
}

impl Founding {
    pub fn ordered(purpose: Purpose, begun: f64) -> Self {
        Founding {
            purpose,
            begun,
            group: None,
            asked: false,
            voters: Vec::new(),
        }
    }
}

impl Groups {
    pub(super) fn found(&mut self, mut founding: Founding) {
        if !founding.asked {
            founding.asked = true;
            let number = self.noted_group;
            self.noted_group += 1;
            self.identity.next_group = self.noted_group;
            self.token += 1;
            let (identity, token) = (self.identity.clone(), self.token);
            self.rings.disk.send(ToDisk::Identity { identity, token });
            self.foundings.push(founding);
            self.notes.push((token, Noting::Number { number }));
        }
    }

    /// Numbers are noted in the order of the foundings.
    pub(super) fn numbered(&mut self, number: u32) {
        let group = GroupId {
            founder: self.incarnation(),
            number,
        };
        if let Some(founding) = self
            .foundings
            .iter_mut()
            .find(|f| f.asked && f.group.is_none())
        {
            founding.group = Some(group);
        }
        let now = self.now();
        self.foundings_go_on(now);
    }

    pub(super) fn foundings_go_on(&mut self, now: f64) {
        let mut again = Vec::new();
        for mut founding in std::mem::take(&mut self.foundings) {
            let Some(group) = founding.group else {
                self.foundings.push(founding);
                continue;
            };
            if founding.voters.is_empty() {
                self.choose(&mut founding, now);
            }
            if founding.voters.is_empty() {
                self.foundings.push(founding);
                continue;
            }
            match course(self.sighting(&founding, group, now)) {
                Course::Stands => {}
                Course::Again => again.push(Founding::ordered(founding.purpose, now)),
                Course::BuryAndAgain => {
                    self.bury(group);
                    again.push(Founding::ordered(founding.purpose, now));
                }
                Course::GoOn => {
                    self.invite(&founding, group);
                    self.with(group, |core, out| {
                        if core.leader().is_none() {
                            core.campaign(out);
                        }
                    });
                    self.foundings.push(founding);
                }
            }
        }
        for founding in again {
            self.found(founding);
        }
    }

    /// A group founded here is led: its founding has come to its end, also if that is looked at later.
    pub(super) fn note_led(&mut self, group: GroupId) {
        if group.founder == self.incarnation() {
            self.led.insert(group);
        }
    }

    fn sighting(&self, founding: &Founding, group: GroupId, now: f64) -> Sighting {
        let core = self.cores.get(&group);
        let leader = core.and_then(|core| core.leader());
        let late = now - founding.begun > 3.0 * self.fleet.timing.replace;
        Sighting {
            led: self.led.contains(&group) || core.is_some_and(|core| core.leads().is_some()),
            gone: self.gone.contains(&group),
            led_by_another: leader.is_some_and(|who| who != self.incarnation()),
            keepers_lost: late && !self.keepers_live(founding),
        }
    }

    fn keepers_live(&self, founding: &Founding) -> bool {
        let live = founding
            .voters
            .iter()
            .filter(|v| **v == self.incarnation() || self.peer_of(**v).is_some());
        2 * live.count() > founding.voters.len()
    }

    fn invite(&mut self, founding: &Founding, group: GroupId) {
        let (purpose, voters) = (founding.purpose, founding.voters.clone());
        for who in &founding.voters {
            if let Some(peer) = self.peer_of(*who) {
                self.say(
                    peer,
                    &Said::Found {
                        group,
                        purpose,
                        voters: voters.clone(),
                    },
                );
            }
        }
    }

    /// Chooses the voters if enough are there, and makes the group here.
    fn choose(&mut self, founding: &mut Founding, now: f64) {
        let Some(group) = founding.group else { return };
        let late = now - founding.begun > self.fleet.timing.replace;
        let others = match founding.purpose {
            Purpose::EventLog => self.chosen_keepers(group, late, now),
            Purpose::Control => self.chosen_for_control(now),
        };
        let Some(others) = others else { return };
        founding.voters = vec![self.incarnation()];
        founding
            .voters
            .extend(others.iter().filter_map(|at| self.peers[*at].up));
        let machine = (self.machines)(founding.purpose);
        let kept = Kept::founded(&founding.voters, &*machine);
        self.make(group, founding.purpose, kept);
    }

    /// The roll's first choices, once they are there; later those that are.
    fn chosen_keepers(&self, group: GroupId, late: bool, now: f64) -> Option<Vec<Peer>> {
        let keepers = self.fleet.replication.as_ref()?.keepers;
        let all = &self.fleet.instances;
        let mut order = roll::keepers(all, &all[self.me], group.founder);
        if late {
            order.retain(|at| self.is_there(*at, now) && self.peers[*at].left > 0);
        }
        order.truncate(keepers);
        let there = order.len() == keepers && order.iter().all(|at| self.is_there(*at, now));
        there.then_some(order)
    }

    /// The named voters that are there: a majority of those named, so that one who knows an older control group
    /// is heard.
    fn chosen_for_control(&self, now: f64) -> Option<Vec<Peer>> {
        if self.control.is_some() || self.peers.iter().any(|p| p.control.is_some()) {
            return None;
        }
        let named = |at: &Peer| self.fleet.voters.contains(&self.fleet.instances[*at].name);
        let there: Vec<Peer> = (0..self.peers.len())
            .filter(|at| named(at) && self.is_there(*at, now))
            .collect();
        (2 * (there.len() + 1) > self.fleet.voters.len()).then_some(there)
    }

    /// The control group is founded once, by the first of its voters, when told so.
    pub(super) fn found_control(&mut self, now: f64) {
        let first = self.fleet.voters.first() == Some(&self.fleet.instances[self.me].name);
        let under_way = self.foundings.iter().any(|f| f.purpose == Purpose::Control);
        if self.fleet.found && first && !under_way && self.chosen_for_control(now).is_some() {
            self.found(Founding::ordered(Purpose::Control, now));
        }
    }

    /// The disk has its file.
    pub(super) fn made(&mut self, group: GroupId) {
        let Some((purpose, kept)) = self.making.remove(&group) else {
            return;
        };
        let machine = (self.machines)(purpose);
        let Ok(core) = Core::new(group, purpose, self.incarnation(), kept, machine, self.pace)
        else {
            return;
        };
        if purpose == Purpose::Control {
            self.control = Some(group);
            let hello = self.hello(self.me);
            self.rings
                .links
                .send(crate::links::shared::ToLinks::Hello(hello));
        }
        self.held.insert(group, self.leases.of(group));
        self.cores.insert(group, core);
        let now = self.now();
        self.foundings_go_on(now);
    }
}
