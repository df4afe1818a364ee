//! What is drawn: broadcasts, faults of processes, and what becomes of reports.

use plankhill_decisions::interface::Ms;
use plankhill_fanout::*;
use rand::Rng;

use super::simulation::{Simulation, STEP};
use super::PlantedFault;

const PATIENCE: Ms = 6_000.0;

impl Simulation {
    /// A client hands it in at one of those that are there.
    pub(super) fn broadcasts(&mut self) {
        let at = self.chance.random_range(0..self.processes.len());
        let process = &mut self.processes[at];
        let Some(station) = process
            .station
            .as_mut()
            .filter(|_| process.stalled <= self.now)
        else {
            return;
        };
        self.sent += 1;
        let traffic = if self.sent.is_multiple_of(2) {
            "binding"
        } else {
            "retriable"
        };
        let local = process.forwarder.local(self.now);
        let id = BroadcastId(format!("b{}", self.sent));
        let broadcast = Broadcast {
            id: id.clone(),
            list: ListName("all".into()),
            traffic: traffic.into(),
            at: local,
            patience: PATIENCE,
            key: Some(1),
            fingerprint: None,
            body: Vec::new(),
        };
        if let Ok(number) = station.attempt(local, broadcast) {
            if self.planted_fault == PlantedFault::AnswersEarly {
                self.checker.answered(&id, true);
            }
            process.attempts.insert(number, id);
        }
    }

    /// Best effort: lost, late, twice.
    pub(super) fn reports(&mut self, commands: Vec<Command>) {
        for command in commands {
            let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.chance.random_range(0..8)];
            for _ in 0..copies {
                let late = if self.chance.random_bool(0.05) {
                    2000.0
                } else {
                    30.0
                };
                let at = self.now + self.chance.random_range(1.0..late);
                self.network.push((at, command.clone()));
            }
        }
    }

    pub(super) fn faults(&mut self) {
        if !self.chance.random_bool(STEP / 500.0) {
            return;
        }
        let at = self.chance.random_range(0..self.processes.len());
        let span = self.now + [200.0, 1500.0, 4500.0, 12_000.0][self.chance.random_range(0..4)];
        let there = self
            .processes
            .iter()
            .filter(|p| p.down < f64::INFINITY)
            .count();
        let process = &mut self.processes[at];
        match self.chance.random_range(0..8) {
            0..3 if process.station.is_some() => {
                process.station = None;
                process.forwarder.crash();
                process.down = span;
                self.crashes += 1;
            }
            3 if process.down < f64::INFINITY && there > 2 => {
                process.station = None;
                process.forwarder.crash();
                process.down = f64::INFINITY;
                self.arrives();
            }
            4..6 => process.stalled = span,
            _ => process.cut = span,
        }
    }
}
