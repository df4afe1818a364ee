//! A small fleet in true time: instances with drifting clocks that stall, crash and start anew, a log that each
//! hears late, reports that get lost, late or doubled, leaders that change. Connections are counted as a target
//! counts them: those of a stalled process too, until the kernel ends it.

use std::collections::BTreeMap;

use plankhill_connection_quotas::language::{Facts, PoolId};
use plankhill_connection_quotas::leases::{
    Command, Grant, Instance, LeaseHolder, LeaseIssuer, LeaseTable, MemberIncarnation, Outcome,
    Report,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod process;
mod talk;
mod trouble;

use process::Process;
pub use trouble::{Planted, Seen};

pub const STEP: f64 = 10.0;
/// The kernel ends a process that stands still for so long.
pub const STALL: f64 = 600.0;
const TIME_OUT: f64 = 700.0;
pub const BUDGET: u32 = 12;

pub struct Fleet {
    chance: ChaCha8Rng,
    planted: Planted,
    pub now: f64,
    log: Vec<(u64, Command)>,
    term: u64,
    leader: usize,
    instances: Vec<Process>,
    /// Instances that hear and say nothing until then.
    cut_off: Vec<f64>,
    reports: Vec<(f64, Report)>,
    proposed: Vec<(f64, u64, Command)>,
    lives: u64,
    pub faults: bool,
    pub seen: Seen,
}

pub fn policy(edition: u32, standing: u32) -> String {
    let lease = "lease { lasts 3s renew 300ms drift 1% }";
    format!("language 1 edition {edition} {lease} budget each target {{ connections {BUDGET} standing {standing} }}")
}

pub fn pool() -> PoolId {
    PoolId::Target("t".into())
}

fn facts() -> Facts {
    Facts {
        target: "t".into(),
        ..Facts::default()
    }
}

impl Fleet {
    pub fn new(seed: u64, count: usize, planted: Planted) -> Fleet {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let drift = if planted == Planted::DriftIgnored {
            0.4
        } else {
            0.01
        };
        let mut instance = |at: usize| {
            let name = Instance(format!("i{at}"));
            Process {
                holder: LeaseHolder::new(name.clone(), MemberIncarnation(at as u64)),
                name,
                // As far apart as they may be.
                rate: if chance.random() {
                    1.0 - drift
                } else {
                    1.0 + drift
                },
                ahead: chance.random_range(0.0..1e6),
                book: LeaseTable::default(),
                heard: 0,
                saved: (0, LeaseTable::default().snapshot()),
                open: Vec::new(),
                wants: 4,
                stalled_until: 0.0,
                down_until: 0.0,
                about_to_open: false,
                reports_at: 0.0,
                gives: None,
                standing: 0,
                ends_ignored: planted == Planted::EndIgnored,
            }
        };
        let instances: Vec<Process> = (0..count).map(&mut instance).collect();
        let cut_off = vec![0.0; count];
        let mut fleet = Fleet {
            chance,
            planted,
            now: 0.0,
            log: Vec::new(),
            term: 0,
            leader: 0,
            instances,
            cut_off,
            reports: Vec::new(),
            proposed: Vec::new(),
            lives: 1_000,
            faults: true,
            seen: Seen::default(),
        };
        fleet.agree(policy(1, 2));
        fleet
    }

    pub fn agree(&mut self, text: String) {
        let instances = self
            .instances
            .iter()
            .map(|i| (i.name.clone(), String::new()))
            .collect();
        self.proposed
            .push((self.now, self.term, Command::Policy { text, instances }));
    }

    pub fn open(&self) -> u32 {
        self.instances
            .iter()
            .map(|instance| instance.open.len() as u32)
            .sum()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.trouble();
        self.carry();
        for at in 0..self.instances.len() {
            self.live(at);
        }
        let open = self.open();
        self.seen.most_open = self.seen.most_open.max(open);
        self.seen.passed |= open > BUDGET;
    }

    fn live(&mut self, at: usize) {
        let now = self.now;
        if self.instances[at].stalled_until > now {
            return;
        }
        if self.instances[at].stalled_until > 0.0 && self.instances[at].down_until > now {
            // It stood still for too long: the kernel has ended it.
            self.ended(at);
        }
        if self.instances[at].down_until > now {
            return;
        }
        self.instances[at].stalled_until = 0.0;
        if std::mem::take(&mut self.instances[at].about_to_open) {
            let ends = self.instances[at].clock(now) + TIME_OUT;
            self.instances[at].open.push(Some(ends));
        }
        self.hear(at);
        self.serve(at);
        self.report(at);
        self.give(at);
    }

    fn hear(&mut self, at: usize) {
        let now = self.now;
        let leads = at == self.leader;
        if self.cut_off[at] > now || (!leads && self.chance.random_bool(0.7)) {
            return;
        }
        let planted = self.planted;
        let instance = &mut self.instances[at];
        let clock = instance.clock(now);
        while let Some((term, command)) = self.log.get(instance.heard) {
            if instance.heard.is_multiple_of(200) {
                instance.saved = (instance.heard, instance.book.snapshot());
            }
            instance.heard += 1;
            let outcome = instance.book.apply(*term, command);
            if let Some((_, giver)) = &mut instance.gives {
                giver.applied(clock, command, outcome);
            }
            let Command::Grant(grant) = command else {
                let own = instance.book.standing(&facts(), &instance.name);
                instance.standing = own.map_or(0, |(_, standing)| standing);
                continue;
            };
            if outcome == Outcome::Refused {
                continue;
            }
            if planted == Planted::CountedFromReceipt && grant.instance == instance.name {
                let now_asked = instance.holder.report(clock, Vec::new()).number;
                instance.holder.granted(&Grant {
                    report: now_asked,
                    ..grant.clone()
                });
            }
            instance.holder.granted(grant);
        }
        if leads
            && instance
                .gives
                .as_ref()
                .is_none_or(|(term, _)| *term < self.term)
        {
            let clock = if planted == Planted::OldClocksTrusted {
                clock - 1e6
            } else {
                clock
            };
            let grace = if planted == Planted::StallIgnored {
                0.0
            } else {
                STALL
            };
            instance.gives = Some((self.term, LeaseIssuer::new(clock, grace, &instance.book)));
        }
    }

    fn serve(&mut self, at: usize) {
        let now = self.now;
        let instance = &mut self.instances[at];
        let clock = instance.clock(now);
        instance
            .open
            .iter_mut()
            .filter(|call| call.is_some_and(|ends| ends <= clock))
            .for_each(|call| *call = None);
        // A lease that ended leaves calls only where the process stood still: those are cut.
        let most = instance.allowance(clock, clock) as usize;
        let ended = instance.holder.ends_at(clock).is_none();
        while instance.open.len() > most {
            match instance.open.iter().position(Option::is_none) {
                Some(idle) => instance.open.remove(idle),
                None if ended => instance.open.remove(0),
                None => break,
            };
        }
        let busy = instance.open.iter().filter(|call| call.is_some()).count() as u32;
        let room = instance.room(now);
        if busy < instance.wants && self.chance.random_bool(0.3) {
            let ends = Some(clock + self.chance.random_range(20.0..TIME_OUT));
            let instance = &mut self.instances[at];
            match instance.open.iter_mut().find(|call| call.is_none()) {
                Some(idle) if instance.holder.ends_at(clock + TIME_OUT).is_some() => *idle = ends,
                _ if room > 0 => {
                    instance.open.push(ends);
                    self.seen.opened += 1;
                }
                _ => (),
            }
        }
        let instance = &mut self.instances[at];
        let open = if self.planted == Planted::ClosedTooEarly {
            0
        } else {
            instance.open.len() as u32
        };
        if let Some((policy, _)) = instance.book.policy() {
            let standing = instance
                .book
                .standing(&facts(), &instance.name)
                .map_or(0, |(_, standing)| standing);
            let edition = policy.edition;
            instance
                .holder
                .observe_open(clock, &BTreeMap::from([(pool(), open)]), edition, |_| {
                    standing
                });
        }
    }
}
