//! Random events: broadcasts, faults of processes, and the fate of reports.

use plankhill_decisions::interface::Ms;
use plankhill_fanout::*;
use rand::Rng;

use super::simulation::{Simulation, STEP};
use super::PlantedFault;

const PATIENCE: Ms = 6_000.0;

impl Simulation {
    /// A client submits a broadcast at a process that runs.
    pub(super) fn submit_broadcast(&mut self) {
        let at = self.rng.random_range(0..self.processes.len());
        let process = &mut self.processes[at];
        let Some(local_instance) = process
            .local_instance
            .as_mut()
            .filter(|_| process.suspended_until <= self.now)
        else {
            return;
        };
        self.submitted += 1;
        let traffic = if self.submitted.is_multiple_of(2) {
            "binding"
        } else {
            "retriable"
        };
        let local = process.forwarder.local(self.now);
        let id = BroadcastId(format!("b{}", self.submitted));
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
        if let Ok(number) = local_instance.submit_broadcast(local, broadcast) {
            if self.planted_fault == PlantedFault::AnswersEarly {
                self.checker.answered(&id, true);
            }
            process.submissions.insert(number, id);
        }
    }

    /// Sends reports over the network, which loses, delays and duplicates some.
    pub(super) fn send_reports(&mut self, commands: Vec<Command>) {
        for command in commands {
            let duplicates = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..8)];
            for _ in 0..duplicates {
                let late = if self.rng.random_bool(0.05) {
                    2000.0
                } else {
                    30.0
                };
                let at = self.now + self.rng.random_range(1.0..late);
                self.network.push((at, command.clone()));
            }
        }
    }

    pub(super) fn draw_fault(&mut self) {
        if !self.rng.random_bool(STEP / 500.0) {
            return;
        }
        let at = self.rng.random_range(0..self.processes.len());
        let until = self.now + [200.0, 1500.0, 4500.0, 12_000.0][self.rng.random_range(0..4)];
        let remaining = self
            .processes
            .iter()
            .filter(|p| p.down_until < f64::INFINITY)
            .count();
        let process = &mut self.processes[at];
        match self.rng.random_range(0..8) {
            0..3 if process.local_instance.is_some() => {
                process.local_instance = None;
                process.forwarder.crash();
                process.down_until = until;
                self.crashes += 1;
            }
            3 if process.down_until < f64::INFINITY && remaining > 2 => {
                process.local_instance = None;
                process.forwarder.crash();
                process.down_until = f64::INFINITY;
                self.add_process();
            }
            4..6 => process.suspended_until = until,
            _ => process.cut_off_until = until,
        }
    }
}
