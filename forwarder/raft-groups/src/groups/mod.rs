//! The groups' thread: it owns the cores and hands on what they say, to the disk, the links and the loop.

mod founding;
mod heard;
mod orders;
mod peers;
mod review;
mod room;
mod state;
mod states;

use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::error;

use crate::core::effects::Effects;
use crate::core::Core;
use crate::disk::thread::{FromDisk, ToDisk};
use crate::links::shared::ToLinks;
use crate::wire::frame::frame;
use crate::wire::mirror;
use crate::wire::said::Said;
use crate::{GroupEvent, GroupId, Incarnation};

pub use state::{Begun, Groups, Rings};

/// The most taken from one ring before the others have their turn.
const AT_ONCE: usize = 256;

impl Groups {
    pub fn run(mut self) {
        self.begin();
        let mut ticked = self.now();
        let mut reviewed = ticked;
        while !self.rings.stop.load(Ordering::Acquire) && self.refused.is_none() {
            let mut busy = self.hear_disk();
            // Nothing more is taken in while what it made has no room.
            if !self.is_clogged() {
                busy |= self.hear_links();
                busy |= self.hear_orders();
            }
            let now = self.now();
            // After a pause ticks go on from now: they never come sooner than a tick's span after each other.
            if now >= ticked + self.pace.tick {
                ticked = now;
                self.tick(now);
            }
            if now >= reviewed + 2.0 * self.fleet.timing.heartbeat {
                reviewed = now;
                self.review(now);
            }
            self.flush();
            if self.rings.news.is_over() || self.rings.links.is_over() || self.rings.disk.is_over()
            {
                break;
            }
            if !busy {
                let rest = (ticked + self.pace.tick - self.now()).clamp(0.1, 1000.0);
                let rest = if self.is_clogged() {
                    rest.min(2.0)
                } else {
                    rest
                };
                std::thread::park_timeout(Duration::from_secs_f64(rest / 1e3));
            }
        }
        if let Some(why) = &self.refused {
            error!(self.log, "fleet start refused"; "because" => why.as_str());
            *self.rings.refused.lock().unwrap_or_else(|e| e.into_inner()) = Some(why.clone());
        }
        let all: Vec<GroupId> = self.cores.keys().copied().collect();
        for group in all {
            self.leases.forget(group);
        }
        self.rings.stop.store(true, Ordering::Release);
        self.flush();
        self.rings.disk.wake();
        self.rings.links.wake();
    }

    fn is_clogged(&self) -> bool {
        self.rings.news.is_clogged()
            || self.rings.links.is_clogged()
            || self.rings.disk.is_clogged()
    }

    fn flush(&mut self) {
        self.rings.news.flush();
        self.rings.links.flush();
        self.rings.disk.flush();
    }

    fn hear_disk(&mut self) -> bool {
        let mut busy = false;
        while let Ok(done) = self.rings.from_disk.pop() {
            busy = true;
            match done {
                FromDisk::Group {
                    group,
                    number,
                    bytes,
                } => {
                    self.disk_bytes.insert(group, bytes);
                    self.with(group, |core, out| core.persisted(number, out));
                }
                FromDisk::Made { group } => self.made(group),
                FromDisk::Noted { token } => self.noted(token),
            }
        }
        busy
    }

    fn hear_links(&mut self) -> bool {
        for turn in 0..AT_ONCE {
            let Ok(news) = self.rings.from_links.pop() else {
                return turn > 0;
            };
            self.heard(news);
        }
        true
    }

    fn hear_orders(&mut self) -> bool {
        for turn in 0..AT_ONCE {
            let Ok(order) = self.rings.orders.pop() else {
                return turn > 0;
            };
            self.ordered(order);
        }
        true
    }

    fn tick(&mut self, now: f64) {
        let all: Vec<GroupId> = self
            .cores
            .keys()
            .copied()
            .filter(|g| !self.parked.contains(g))
            .collect();
        for group in all {
            self.with(group, |core, out| core.tick(now, out));
        }
        self.states_go_on(now);
        if now >= self.beaten + self.fleet.timing.heartbeat {
            self.beaten = now;
            self.make_room();
            self.tell_room(now);
            let said = Said::Beat {
                left: self.left_for_takes(),
                control: self.control,
            };
            let frame = frame(&said);
            for to in 0..self.peers.len() {
                if self.peers[to].up.is_some() {
                    self.rings.links.send_or_lose(ToLinks::Say {
                        to,
                        frame: frame.clone(),
                    });
                }
            }
        }
    }

    /// Lets a core do something and hands on what comes of it: to the disk first, then to the others.
    pub(crate) fn with(&mut self, group: GroupId, act: impl FnOnce(&mut Core, &mut Effects)) {
        let Some(core) = self.cores.get_mut(&group) else {
            return;
        };
        let mut out = Effects::default();
        act(core, &mut out);
        let until = (core.lease().max(0.0) * 1e3) as u64;
        if let Some(lease) = self.held.get(&group) {
            lease.store(until, Ordering::Release);
        }
        if let Some(fault) = core.fault() {
            self.refused.get_or_insert_with(|| {
                format!(
                    "{group:?} can't go on here ({fault:?}): the folder lacks what was acknowledged from it"
                )
            });
        }
        let dissolved = core.dissolved();
        for persist in out.persist {
            self.rings.disk.send(ToDisk::Group { group, persist });
        }
        for message in out.send {
            self.pass(group, &message);
        }
        for news in out.news {
            if let GroupEvent::Elected { group, .. } = &news {
                self.note_led(*group);
            }
            self.rings.news.send(news);
        }
        if dissolved {
            self.dissolves(group);
        }
    }

    fn pass(&mut self, group: GroupId, message: &raft::eraftpb::Message) {
        let to = Incarnation(message.to);
        let Some(peer) = self.peer_of(to) else {
            // Raft takes a send for done: it has to hear of the loss, or it waits.
            self.unsent.push((group, to));
            return;
        };
        let Some(message) = mirror::Message::of(message) else {
            return;
        };
        match message.snapshot {
            Some(_) => self.send_state(group, peer, message),
            None => self.say(peer, &Said::Raft { group, message }),
        }
    }

    pub(crate) fn say(&mut self, to: usize, said: &Said) {
        self.rings.links.send_or_lose(ToLinks::Say {
            to,
            frame: frame(said),
        });
    }

    pub(crate) fn tell(&mut self, news: GroupEvent) {
        self.rings.news.send(news);
    }
}
