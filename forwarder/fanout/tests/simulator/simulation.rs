//! The log, the network and the faults of one run.

use std::collections::{BTreeMap, BTreeSet};

use plankhill_decisions::interface::{DestinationId, Ms};
use plankhill_fanout::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::checker::{Checker, CopyKey};
use super::forwarder::{Forwarder, LONGEST_CALL};
use super::process::Process;
use super::PlantedFault;

pub(super) const STEP: Ms = 10.0;
const DURATION: Ms = 30_000.0;
const SUBSCRIBERS: u64 = 8;

pub struct Simulation {
    pub(super) rng: ChaCha8Rng,
    pub(super) planted_fault: PlantedFault,
    pub(super) now: Ms,
    log: Vec<Command>,
    /// The state of all commands in the log, applied as it grows.
    log_state: FanoutState,
    pub(super) processes: Vec<Process>,
    pub(super) network: Vec<(Ms, Command)>,
    leader: usize,
    coordinator: Coordinator,
    pub checker: Checker,
    pub(super) submitted: u64,
    pub moves: u64,
    pub crashes: u64,
}

impl Simulation {
    pub fn run(seed: u64, planted_fault: PlantedFault) -> Simulation {
        let mut simulation = Simulation {
            rng: ChaCha8Rng::seed_from_u64(seed),
            planted_fault,
            now: 0.0,
            log: Vec::new(),
            log_state: FanoutState::default(),
            processes: Vec::new(),
            network: Vec::new(),
            leader: 0,
            coordinator: Coordinator::default(),
            checker: Checker::default(),
            submitted: 0,
            moves: 0,
            crashes: 0,
        };
        let members = (0..SUBSCRIBERS).map(DestinationId).collect();
        let lists = vec![(ListName("all".into()), members)];
        simulation.commit(Command::Laid(Layout {
            lists,
            cohorts: 3,
            slow_cohorts: 1,
            bounds: super::bounds(),
        }));
        (0..4).for_each(|_| simulation.add_process());
        while simulation.now < DURATION {
            simulation.step(true);
        }
        // Without faults, copies of lost instances are abandoned and all outcomes are reported.
        while simulation.now < 2.0 * DURATION {
            simulation.step(false);
        }
        let owed = simulation
            .processes
            .iter()
            .filter(|p| p.down_until < f64::INFINITY)
            .map(|p| p.forwarder.event_log.len());
        simulation
            .checker
            .finish(simulation.log_state.broadcasts().count(), owed.sum());
        simulation
    }

    /// Adds a process with an empty state folder.
    pub(super) fn add_process(&mut self) {
        let id = self.processes.len() as u64 + 1;
        let clock = (
            self.rng.random_range(-200.0..200.0),
            self.rng.random_range(0.996..1.004),
        );
        let forwarder = Forwarder::new(id, clock, self.planted_fault);
        let mut process = Process {
            forwarder,
            local_instance: None,
            applied: 0,
            suspended_until: 0.0,
            cut_off_until: 0.0,
            down_until: 0.0,
            submissions: BTreeMap::new(),
        };
        process.start(self.now, &self.log, 0);
        self.processes.push(process);
    }

    fn commit(&mut self, command: Command) {
        let servers = |state: &FanoutState| -> Vec<_> {
            (0..SUBSCRIBERS)
                .map(|s| state.server(DestinationId(s)))
                .collect()
        };
        let (before, assigned) = (servers(&self.log_state), self.assigned_outcomes(&command));
        let effects = self.log_state.apply(command.clone());
        let left = self.assigned_outcomes(&command);
        if let Command::Ended { ends, .. } = &command {
            for end in ends {
                let copy = (end.subscriber, end.position);
                if let (Some(outcome), None) = (assigned.get(&copy), left.get(&copy)) {
                    self.checker.ended(copy, outcome.unwrap_or(end.outcome));
                }
            }
        }
        for effect in effects {
            match effect {
                Effect::Accepted { position, .. } => {
                    let id = self
                        .log_state
                        .broadcast(position)
                        .map(|b| b.id.clone())
                        .unwrap_or(BroadcastId(String::new()));
                    let members = (0..SUBSCRIBERS).map(DestinationId).collect::<BTreeSet<_>>();
                    self.checker.accepted(id, position, members);
                }
                Effect::BroadcastCompleted { position, .. } => self.checker.all_ended(position),
                _ => (),
            }
        }
        let after = servers(&self.log_state);
        self.moves += before.iter().zip(after).filter(|(b, a)| **b != *a).count() as u64;
        self.log.push(command);
    }

    /// The copies that the log has assigned to the instance that reports ends, each with the outcome that it
    /// is to report.
    fn assigned_outcomes(&self, command: &Command) -> BTreeMap<CopyKey, Option<Outcome>> {
        let Command::Ended { by, .. } = command else {
            return BTreeMap::new();
        };
        self.log_state
            .assigned_copies(*by)
            .into_iter()
            .map(|(s, p, end)| ((s, p), end))
            .collect()
    }

    fn step(&mut self, faulty: bool) {
        self.now += STEP;
        if faulty {
            self.draw_fault();
            if self.rng.random_bool(STEP / 100.0) {
                self.submit_broadcast();
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.network = later;
        // Only a process that is up can propose.
        if self.is_up(self.leader) {
            due.into_iter()
                .for_each(|(_, command)| self.commit(command));
        }
        self.run_leader(faulty);
        for at in 0..self.processes.len() {
            self.run_process(at, faulty);
        }
    }

    fn is_up(&self, at: usize) -> bool {
        let p = &self.processes[at];
        p.local_instance.is_some() && p.suspended_until <= self.now && p.cut_off_until <= self.now
    }

    fn run_leader(&mut self, faulty: bool) {
        if !self.is_up(self.leader) {
            let Some(next) = (0..self.processes.len()).find(|at| self.is_up(*at)) else {
                return;
            };
            (self.leader, self.coordinator) = (next, Coordinator::default());
        }
        let reachable = (0..self.processes.len()).filter(|at| self.is_up(*at));
        let reachable: Vec<InstanceId> = reachable
            .map(|at| InstanceId(self.processes[at].forwarder.id))
            .collect();
        let local = self.processes[self.leader].forwarder.local(self.now);
        let mut commands =
            self.coordinator
                .poll_commands(local, &self.log_state, &reachable, LONGEST_CALL);
        if self.planted_fault == PlantedFault::AbandonsAtOnce {
            let lost = self
                .log_state
                .known_instances()
                .filter_map(|i| Some((i, self.log_state.times_lost(i)?)));
            commands.extend(lost.map(|(instance, time)| Command::GivenUp { instance, time }));
        }
        if faulty && self.rng.random_bool(STEP / 400.0) {
            let subscriber = DestinationId(self.rng.random_range(0..SUBSCRIBERS));
            let from = self.log_state.cohort(subscriber).unwrap_or(Cohort(0));
            commands.push(Command::Moved {
                subscriber,
                from,
                to: Cohort(self.rng.random_range(0..4)),
            });
        }
        commands
            .into_iter()
            .for_each(|command| self.commit(command));
    }

    fn run_process(&mut self, at: usize, faulty: bool) {
        let Simulation {
            rng,
            processes,
            checker,
            log,
            ..
        } = self;
        let process = &mut processes[at];
        if process.local_instance.is_none() && process.down_until <= self.now {
            // Starts from a snapshot of some age and the log since.
            let from = rng.random_range(0..=process.applied.min(log.len()));
            process.start(self.now, log, from);
        }
        if process.local_instance.is_none() || process.suspended_until > self.now {
            return;
        }
        if process.cut_off_until <= self.now {
            let max_commands = if faulty {
                rng.random_range(0..20)
            } else {
                1000
            };
            process.apply_log(self.now, &log[process.applied..], max_commands, checker);
        }
        let Some(local_instance) = process.local_instance.as_mut() else {
            return;
        };
        let draw_call = |_| (rng.random_range(5.0..LONGEST_CALL), rng.random_bool(0.9));
        process
            .forwarder
            .advance(self.now, draw_call, local_instance, checker);
        let local = process.forwarder.local(self.now);
        let commands = local_instance.poll_commands(local);
        let planted = process.planted_commands(self.now, self.planted_fault, &commands, checker);
        if process.cut_off_until <= self.now {
            self.send_reports(commands);
            self.send_reports(planted);
        }
    }
}
