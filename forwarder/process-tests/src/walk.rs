//! A walk that draws faults: the same seed draws the same ones.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::{Delivery, Direction, Instance, Manner, Relay, World};

/// What is done to an instance, until it is undone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Killed,
    /// Killed, and its folder is gone. Only where others have copies.
    Lost,
    Ended,
    Stopped,
    /// All its links, or those to one kind of peer.
    Silent(Links),
    OneWay(Links, Direction),
    Refused(Links),
    Late(Links),
    Cut(Links, Direction, usize),
    FullDisk,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    All,
    Clients,
    Targets,
    Discovery,
    Instances,
}

pub struct Walk {
    chance: ChaCha8Rng,
    /// So many instances may be under a fault at once.
    at_once: usize,
    copies: bool,
    faults: Vec<Option<Fault>>,
    /// What each had said of its copies as the last machine was lost.
    copied: Vec<usize>,
}

impl Walk {
    pub fn new(seed: u64, instances: usize, at_once: usize, copies: bool) -> Walk {
        eprintln!("seed {seed}");
        let (chance, faults) = (ChaCha8Rng::seed_from_u64(seed), vec![None; instances]);
        Walk {
            chance,
            at_once,
            copies,
            faults,
            copied: Vec::new(),
        }
    }

    /// Puts a fault on an instance, or undoes one; sometimes targets change their manner.
    pub fn step(&mut self, world: &mut World) {
        if self.chance.random_bool(0.4) {
            self.manner(world);
        }
        let instance = self.chance.random_range(0..self.faults.len());
        let under = self.faults.iter().flatten().count();
        match self.faults[instance] {
            Some(fault) => self.undo(world, instance, fault),
            None if under < self.at_once => {
                let fault = self.draw();
                eprintln!("    n{instance}: {fault:?}");
                if fault == Fault::Lost {
                    self.copied = world.own_copies();
                }
                put(world, instance, fault);
                self.faults[instance] = Some(fault);
            }
            None => (),
        }
    }

    pub fn undo_all(&mut self, world: &mut World) {
        for instance in 0..self.faults.len() {
            if let Some(fault) = self.faults[instance] {
                self.undo(world, instance, fault);
            }
        }
        world.set_targets(Manner::Answers(Duration::ZERO));
    }

    fn undo(&mut self, world: &mut World, instance: usize, fault: Fault) {
        eprintln!("    n{instance}: no more {fault:?}");
        undo(world, instance, fault);
        self.faults[instance] = None;
        if self.copies {
            world.until_takes(instance);
        }
        if fault == Fault::Lost {
            // Copies are made up before the next machine is lost.
            world.until_made_up(instance, &self.copied);
        }
    }

    fn manner(&mut self, world: &World) {
        let quick = Manner::Answers(Duration::from_millis(3));
        let slow = Manner::Answers(Duration::from_millis(150));
        let all = [
            quick,
            quick,
            quick,
            slow,
            Manner::Refuses,
            Manner::Errs,
            Manner::Hangs,
            Manner::HalfAnswers,
        ];
        let manner = *all.choose(&mut self.chance).expect("some");
        let target = self.chance.random_range(0..world.targets.len());
        eprintln!("    target {target}: {manner:?}");
        world.targets[target].set(manner);
    }

    fn draw(&mut self) -> Fault {
        let mut links = vec![Links::All, Links::Clients, Links::Targets, Links::Discovery];
        if self.copies {
            // The most of what is new, and so of the faults.
            links.extend([Links::Instances; 3]);
        }
        let links = *links.choose(&mut self.chance).expect("some");
        let side = if self.chance.random() {
            Direction::Forward
        } else {
            Direction::Back
        };
        let after = self.chance.random_range(0..200);
        let mut all = vec![
            Fault::Killed,
            Fault::Killed,
            Fault::Ended,
            Fault::Stopped,
            Fault::Stopped,
            Fault::Silent(links),
            Fault::OneWay(links, side),
            Fault::Refused(links),
            Fault::Late(links),
            Fault::Cut(links, side, after),
            Fault::FullDisk,
        ];
        if self.copies {
            all.extend([Fault::Lost; 2]);
        }
        *all.choose(&mut self.chance).expect("some")
    }
}

fn each(instance: &Instance, links: Links, fault: impl Fn(&Relay)) {
    match links {
        Links::All => instance.links().chain(&instance.peers).for_each(fault),
        Links::Clients => fault(&instance.clients),
        Links::Targets => instance.targets.iter().for_each(fault),
        Links::Discovery => fault(&instance.discovery),
        Links::Instances => instance.peers.iter().for_each(fault),
    }
}

fn put(world: &mut World, at: usize, fault: Fault) {
    match fault {
        Fault::Killed => world.kill(at),
        Fault::Lost => world.lose(at),
        Fault::Ended => {
            world.hinder(at);
            world.process(at).signal(Signal::TERM);
        }
        Fault::Stopped => world.stop(at),
        Fault::Silent(links) => world.fault(at, |i| each(i, links, |link: &Relay| link.stall())),
        Fault::OneWay(links, side) => world.fault(at, |i| {
            each(i, links, |link| link.set_delivery(side, Delivery::Stalled))
        }),
        Fault::Refused(links) => world.fault(at, |i| {
            each(i, links, |link: &Relay| link.reset_and_refuse())
        }),
        Fault::Late(links) => world.fault(at, |i| {
            each(i, links, |link| link.delay(Duration::from_millis(30)))
        }),
        Fault::Cut(links, side, after) => {
            world.fault(at, |i| {
                each(i, links, |link| link.truncate_next(side, after))
            });
        }
        Fault::FullDisk => {
            world.hinder(at);
            world.process(at).limit_files(Some(4_096));
        }
    }
}

fn undo(world: &mut World, at: usize, fault: Fault) {
    match fault {
        Fault::Killed | Fault::Lost => world.start(at),
        Fault::Ended => {
            world.instances[at].process.waited();
            world.start(at);
        }
        Fault::Stopped => world.wake(at),
        Fault::FullDisk => {
            if world.instances[at].process.has_ended() {
                world.start(at);
            } else {
                world.process(at).limit_files(None);
                world.free(at, false);
            }
        }
        Fault::Silent(_)
        | Fault::OneWay(..)
        | Fault::Refused(_)
        | Fault::Late(_)
        | Fault::Cut(..) => world.heal(at),
    }
}
