//! Whom this instance hears: a start of a folder is noted, synced, before one word of it is heeded, so that an
//! older copy of the folder is known for what it is.

use crate::disk::folder::MOST_MET;
use crate::disk::thread::ToDisk;
use crate::links::shared::{Peer, ToLinks};
use crate::wire::said::{Answer, Hello, StartOptions};
use crate::{GroupEvent, GroupId, Incarnation, InstanceName};

use super::state::Groups;

/// One other instance.
#[derive(Default)]
pub struct PeerState {
    /// The life that answered this instance's call, while the link stands.
    pub up: Option<Incarnation>,
    /// When something last came from it.
    pub heard: f64,
    /// Told to the loop as reachable.
    pub told: Option<Incarnation>,
    /// Since when it can't be reached.
    pub away: f64,
    /// Bytes that it had room for when this many bytes of commands had been proposed here.
    pub left: u64,
    pub left_at: u64,
    /// How many had been when its last beat came.
    pub beat_at: u64,
    pub control: Option<GroupId>,
}

/// A call that was welcomed.
#[derive(Clone, Copy)]
pub struct Call {
    pub peer: Peer,
    pub who: Incarnation,
}

/// What follows once the disk has noted a start.
pub enum Noting {
    Called {
        call: u64,
        peer: Peer,
        who: Incarnation,
    },
    Answered {
        peer: Peer,
        who: Incarnation,
        control: Option<GroupId>,
    },
    /// The number of a group to be founded.
    Number { number: u32 },
}

impl Groups {
    pub(super) fn hello(&self, to: Peer) -> Hello {
        let name = |at: Peer| InstanceName(self.fleet.instances[at].name.as_str().into());
        Hello {
            version: crate::wire::said::VERSION,
            fleet: self.fleet.name.clone(),
            name: name(self.me),
            to: name(to),
            incarnation: self.incarnation(),
            start: self.identity.start,
            control: self.control,
        }
    }

    /// Notes a start. The error is the later one that was here before.
    fn meet(&mut self, hello: &Hello) -> Result<(), u64> {
        let Hello {
            incarnation,
            start,
            name,
            ..
        } = hello;
        let known = self.met.get(incarnation).cloned();
        if let Some((known_name, known)) = &known {
            let older = start.generation < known.generation;
            let twin = start.generation == known.generation && start.draw != known.draw;
            if older || twin || known_name != name {
                return Err(known.generation);
            }
        }
        let itself = *incarnation == self.incarnation();
        if itself {
            return Err(self.identity.start.generation);
        }
        if known != Some((name.clone(), *start)) {
            self.make_room_to_meet();
            self.met.insert(*incarnation, (name.clone(), *start));
            self.token += 1;
            self.rings.disk.send(ToDisk::Met {
                met: self.met.clone(),
                token: self.token,
            });
        }
        Ok(())
    }

    /// Forgets one that is in no group and not there.
    fn make_room_to_meet(&mut self) {
        if self.met.len() < MOST_MET {
            return;
        }
        let needed = |who: &Incarnation| {
            self.peers.iter().any(|p| p.up == Some(*who))
                || self.cores.values().any(|c| c.is_member(*who))
        };
        let forgotten = self.met.keys().find(|who| !needed(who)).copied();
        forgotten.map(|who| self.met.remove(&who));
    }

    pub(super) fn called(&mut self, call: u64, peer: Peer, hello: Hello) {
        let who = hello.incarnation;
        match self.meet(&hello) {
            Err(known) => self.rings.links.send(ToLinks::Answer {
                call,
                answer: Answer::OlderCopy { known },
            }),
            Ok(()) => self.after_notes(Noting::Called { call, peer, who }),
        }
    }

    pub(super) fn answered(&mut self, peer: Peer, answer: Answer) {
        match answer {
            Answer::OlderCopy { known } => {
                let StartOptions { generation, .. } = self.identity.start;
                let name = &self.fleet.instances[peer].name;
                self.refused = Some(format!(
                    "{}: is an older copy: {name} knows start {known} of it, this is start {generation}; what was \
                     promised since is not in it: start on an empty folder",
                    self.folder.display()
                ));
            }
            Answer::Welcome(hello) => {
                let named = *hello.name.0 == *self.fleet.instances[peer].name
                    && hello.fleet == self.fleet.name;
                let (who, control) = (hello.incarnation, hello.control);
                match self.meet(&hello) {
                    Ok(()) if named => self.after_notes(Noting::Answered { peer, who, control }),
                    // Its own calls are answered with why.
                    _ => self.rings.links.send(ToLinks::HangUp { peer }),
                }
            }
        }
    }

    /// Once all that the disk was handed is noted.
    pub(super) fn after_notes(&mut self, noting: Noting) {
        match self.notes_done == self.token {
            true => self.after(noting),
            false => self.notes.push((self.token, noting)),
        }
    }

    pub(super) fn noted(&mut self, token: u64) {
        self.notes_done = self.notes_done.max(token);
        let due = |(after, _): &(u64, Noting)| *after <= token;
        let (ready, rest) = std::mem::take(&mut self.notes).into_iter().partition(due);
        self.notes = rest;
        let ready: Vec<(u64, Noting)> = ready;
        for (_, noting) in ready {
            self.after(noting);
        }
    }

    fn after(&mut self, noting: Noting) {
        match noting {
            Noting::Called { call, peer, who } => {
                self.calls.insert(call, Call { peer, who });
                let answer = Answer::Welcome(self.hello(peer));
                self.rings.links.send(ToLinks::Answer { call, answer });
            }
            Noting::Answered { peer, who, control } => {
                let now = self.now();
                let state = &mut self.peers[peer];
                state.up = Some(who);
                state.heard = now;
                // Until it tells.
                state.left = u64::MAX;
                state.left_at = 0;
                // Before it counts as there: who founds a control group has to know of one that is.
                state.control = control;
                if state.told != Some(who) {
                    let name = InstanceName(self.fleet.instances[peer].name.as_str().into());
                    let before = state.told.replace(who);
                    if let Some(incarnation) = before {
                        self.tell(GroupEvent::PeerChanged {
                            name: name.clone(),
                            incarnation,
                            reachable: false,
                        });
                    }
                    self.tell(GroupEvent::PeerChanged {
                        name,
                        incarnation: who,
                        reachable: true,
                    });
                }
            }
            Noting::Number { number } => self.numbered(number),
        }
    }

    pub(super) fn lost(&mut self, peer: Peer) {
        let now = self.now();
        let state = &mut self.peers[peer];
        let Some(who) = state.up.take() else { return };
        state.away = now;
        let name = InstanceName(self.fleet.instances[peer].name.as_str().into());
        if let Some(incarnation) = state.told.take() {
            self.tell(GroupEvent::PeerChanged {
                name,
                incarnation,
                reachable: false,
            });
        }
        let groups: Vec<GroupId> = self.cores.keys().copied().collect();
        for group in groups {
            self.with(group, |core, out| core.unreachable(who, out));
        }
    }

    /// The instance whose life this is, while it can be reached.
    pub(super) fn peer_of(&self, who: Incarnation) -> Option<Peer> {
        self.peers.iter().position(|p| p.up == Some(who))
    }

    /// It can be reached, and speaks.
    pub(super) fn is_there(&self, peer: Peer, now: f64) -> bool {
        let state = &self.peers[peer];
        state.up.is_some() && now - state.heard < 2.0 * self.fleet.timing.election
    }

    /// Since when this life has not been there, in milliseconds. Infinite if its name has another life now, or is
    /// not in the fleet any more.
    pub(super) fn away(&self, who: Incarnation, now: f64) -> f64 {
        let name = self.met.get(&who).map(|(name, _)| &name.0);
        let place =
            name.and_then(|name| self.fleet.instances.iter().position(|i| *i.name == **name));
        let Some(peer) = place else {
            return f64::INFINITY;
        };
        let state = &self.peers[peer];
        match state.up {
            Some(up) if up != who => f64::INFINITY,
            Some(_) => (now - state.heard - 2.0 * self.fleet.timing.election).max(0.0),
            None => now - state.away,
        }
    }
}
