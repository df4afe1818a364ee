//! The log, the network and the day's faults.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_decisions::interface::{DestinationId, Ms};
use plankhill_fanout::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::checker::{Checker, Copy};
use super::forwarder::{Forwarder, LONGEST_CALL};
use super::process::Process;
use super::PlantedFault;

pub(super) const STEP: Ms = 10.0;
const DAY: Ms = 30_000.0;
const SUBSCRIBERS: u64 = 8;

pub struct Simulation {
    pub(super) chance: ChaCha8Rng,
    pub(super) planted_fault: PlantedFault,
    pub(super) now: Ms,
    log: Vec<Command>,
    /// What the log says, applied as it grows.
    truth: FanoutState,
    pub(super) processes: Vec<Process>,
    pub(super) network: Vec<(Ms, Command)>,
    leader: usize,
    leading: Coordinator,
    pub checker: Checker,
    pub(super) sent: u64,
    pub moves: u64,
    pub crashes: u64,
}

impl Simulation {
    pub fn play(seed: u64, planted_fault: PlantedFault) -> Simulation {
        let mut world = Simulation {
            chance: ChaCha8Rng::seed_from_u64(seed),
            planted_fault,
            now: 0.0,
            log: Vec::new(),
            truth: FanoutState::default(),
            processes: Vec::new(),
            network: Vec::new(),
            leader: 0,
            leading: Coordinator::default(),
            checker: Checker::default(),
            sent: 0,
            moves: 0,
            crashes: 0,
        };
        let members = (0..SUBSCRIBERS).map(DestinationId).collect();
        let lists = vec![(ListName("all".into()), members)];
        world.commit(Command::Laid(Layout {
            lists,
            cohorts: 3,
            slow_cohorts: 1,
            bounds: super::bounds(),
        }));
        (0..4).for_each(|_| world.arrives());
        while world.now < DAY {
            world.step(true);
        }
        // Whoever is lost is given up, and all is told.
        while world.now < 2.0 * DAY {
            world.step(false);
        }
        let owed = world
            .processes
            .iter()
            .filter(|p| p.down < f64::INFINITY)
            .map(|p| p.forwarder.ledger.len());
        world
            .checker
            .over(world.truth.broadcasts().count(), owed.sum());
        world
    }

    /// With an empty folder.
    pub(super) fn arrives(&mut self) {
        let id = self.processes.len() as u64 + 1;
        let clock = (
            self.chance.random_range(-200.0..200.0),
            self.chance.random_range(0.996..1.004),
        );
        let forwarder = Forwarder::new(id, clock, self.planted_fault);
        let mut process = Process {
            forwarder,
            station: None,
            applied: 0,
            stalled: 0.0,
            cut: 0.0,
            down: 0.0,
            attempts: BTreeMap::new(),
        };
        process.starts(self.now, &self.log, 0);
        self.processes.push(process);
    }

    fn commit(&mut self, command: Command) {
        let servers = |state: &FanoutState| -> Vec<_> {
            (0..SUBSCRIBERS)
                .map(|s| state.server(DestinationId(s)))
                .collect()
        };
        let (before, held) = (servers(&self.truth), self.held(&command));
        let effects = self.truth.apply(command.clone());
        let left = self.held(&command);
        if let Command::Ended { ends, .. } = &command {
            for end in ends {
                let copy = (end.subscriber, end.position);
                if let (Some(told), None) = (held.get(&copy), left.get(&copy)) {
                    self.checker.ended(copy, told.unwrap_or(end.outcome));
                }
            }
        }
        for effect in effects {
            match effect {
                Effect::Accepted { position, .. } => {
                    let id = self
                        .truth
                        .broadcast(position)
                        .map(|b| b.id.clone())
                        .unwrap_or(BroadcastId(String::new()));
                    let members = (0..SUBSCRIBERS).map(DestinationId).collect::<BTreeSet<_>>();
                    self.checker.taken(id, position, members);
                }
                Effect::BroadcastCompleted { position, .. } => self.checker.all_ended(position),
                _ => (),
            }
        }
        let after = servers(&self.truth);
        self.moves += before.iter().zip(after).filter(|(b, a)| **b != *a).count() as u64;
        self.log.push(command);
    }

    /// What the instance that tells of ends holds by the log, with what else is said of its end.
    fn held(&self, command: &Command) -> BTreeMap<Copy, Option<Outcome>> {
        let Command::Ended { by, .. } = command else {
            return BTreeMap::new();
        };
        self.truth
            .assigned_copies(*by)
            .into_iter()
            .map(|(s, p, end)| ((s, p), end))
            .collect()
    }

    fn step(&mut self, faulty: bool) {
        self.now += STEP;
        if faulty {
            self.faults();
            if self.chance.random_bool(STEP / 100.0) {
                self.broadcasts();
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.network = later;
        // Only one that leads can propose.
        if self.is_up(self.leader) {
            due.into_iter()
                .for_each(|(_, command)| self.commit(command));
        }
        self.leads(faulty);
        for at in 0..self.processes.len() {
            self.works(at, faulty);
        }
    }

    fn is_up(&self, at: usize) -> bool {
        let p = &self.processes[at];
        p.station.is_some() && p.stalled <= self.now && p.cut <= self.now
    }

    fn leads(&mut self, faulty: bool) {
        if !self.is_up(self.leader) {
            let Some(next) = (0..self.processes.len()).find(|at| self.is_up(*at)) else {
                return;
            };
            (self.leader, self.leading) = (next, Coordinator::default());
        }
        let up = (0..self.processes.len()).filter(|at| self.is_up(*at));
        let up: Vec<InstanceId> = up
            .map(|at| InstanceId(self.processes[at].forwarder.id))
            .collect();
        let local = self.processes[self.leader].forwarder.local(self.now);
        let mut commands = self
            .leading
            .poll_commands(local, &self.truth, &up, LONGEST_CALL);
        if self.planted_fault == PlantedFault::GivesUpAtOnce {
            let lost = self
                .truth
                .known_instances()
                .filter_map(|i| Some((i, self.truth.times_lost(i)?)));
            commands.extend(lost.map(|(instance, time)| Command::GivenUp { instance, time }));
        }
        if faulty && self.chance.random_bool(STEP / 400.0) {
            let subscriber = DestinationId(self.chance.random_range(0..SUBSCRIBERS));
            let from = self.truth.cohort(subscriber).unwrap_or(Cohort(0));
            commands.push(Command::Moved {
                subscriber,
                from,
                to: Cohort(self.chance.random_range(0..4)),
            });
        }
        commands
            .into_iter()
            .for_each(|command| self.commit(command));
    }

    fn works(&mut self, at: usize, faulty: bool) {
        let Simulation {
            chance,
            processes,
            checker,
            log,
            ..
        } = self;
        let process = &mut processes[at];
        if process.station.is_none() && process.down <= self.now {
            // From a snapshot of some age, and the log since.
            let from = chance.random_range(0..=process.applied.min(log.len()));
            process.starts(self.now, log, from);
        }
        if process.station.is_none() || process.stalled > self.now {
            return;
        }
        if process.cut <= self.now {
            let most = if faulty {
                chance.random_range(0..20)
            } else {
                1000
            };
            process.hears(self.now, &log[process.applied..], most, checker);
        }
        let Some(station) = process.station.as_mut() else {
            return;
        };
        let takes = |_| {
            (
                chance.random_range(5.0..LONGEST_CALL),
                chance.random_bool(0.9),
            )
        };
        process.forwarder.works(self.now, takes, station, checker);
        let local = process.forwarder.local(self.now);
        let commands = station.poll_commands(local);
        let early = process.early(self.now, self.planted_fault, &commands, checker);
        if process.cut <= self.now {
            self.reports(commands);
            self.reports(early);
        }
    }
}
