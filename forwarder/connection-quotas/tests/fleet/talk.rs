//! Reports and proposals on their way.

use plankhill_connection_quotas::leases::{Command, PoolDemand, Report};
use rand::Rng;

use super::{facts, Fleet};

impl Fleet {
    /// What is on its way comes in.
    pub(super) fn carry(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.proposed)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.proposed = later;
        let due: Vec<(f64, u64, Command)> = due;
        // What an earlier leader proposed late is void.
        self.log.extend(
            due.into_iter()
                .filter(|(_, term, _)| *term == self.term)
                .map(|(_, t, c)| (t, c)),
        );
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.reports = later;
        let due: Vec<(f64, Report)> = due;
        for (_, report) in due {
            if !self.is_up(self.leader) {
                continue;
            }
            let instance = &mut self.instances[self.leader];
            let clock = instance.clock(now);
            let Some((term, giver)) = &mut instance.gives else {
                continue;
            };
            let (term, granted) = (*term, giver.reported(clock, &instance.book, report));
            if let Some(command) = granted {
                self.propose(term, command);
            }
        }
    }

    fn propose(&mut self, term: u64, command: Command) {
        let at = self.now + self.chance.random_range(1.0..60.0);
        self.proposed.push((at, term, command));
    }

    pub(super) fn report(&mut self, at: usize) {
        let now = self.now;
        let instance = &mut self.instances[at];
        let clock = instance.clock(now);
        if instance.reports_at > clock {
            return;
        }
        instance.reports_at = clock + 300.0;
        let wants = PoolDemand {
            facts: facts(),
            members: vec![instance.wants],
            trials: 0,
        };
        let report = instance.holder.report(clock, vec![wants]);
        if self.cut_off[at] > now {
            return;
        }
        for _ in 0..self.chance.random_range(0..=2) {
            let late = if self.chance.random_bool(0.05) {
                6_000.0
            } else {
                60.0
            };
            self.reports
                .push((now + self.chance.random_range(1.0..late), report.clone()));
        }
    }

    pub(super) fn give(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        let clock = instance.clock(self.now);
        if self.now % 50.0 != 0.0 {
            return;
        }
        let Some((term, giver)) = &mut instance.gives else {
            return;
        };
        let (term, due) = (*term, giver.due(clock, &instance.book));
        for command in due {
            self.propose(term, command);
        }
    }
}
