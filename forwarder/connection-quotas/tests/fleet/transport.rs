//! Sending and delayed delivery of reports and proposals.

use plankhill_connection_quotas::leases::{Command, PoolDemand, Report};
use rand::Rng;

use super::{facts, Fleet};

impl Fleet {
    /// Delivers the proposals and reports that are due.
    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.proposed)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.proposed = later;
        let due: Vec<(f64, u64, Command)> = due;
        // Proposals of earlier leaders that arrive late are discarded.
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
            let Some((term, issuer)) = &mut instance.issuer else {
                continue;
            };
            let (term, grant) = (*term, issuer.reported(clock, &instance.table, report));
            if let Some(command) = grant {
                self.propose(term, command);
            }
        }
    }

    fn propose(&mut self, term: u64, command: Command) {
        let at = self.now + self.rng.random_range(1.0..60.0);
        self.proposed.push((at, term, command));
    }

    pub(super) fn report(&mut self, at: usize) {
        let now = self.now;
        let instance = &mut self.instances[at];
        let clock = instance.clock(now);
        if instance.next_report_at > clock {
            return;
        }
        instance.next_report_at = clock + 300.0;
        let demand = PoolDemand {
            facts: facts(),
            members: vec![instance.demand],
            trials: 0,
        };
        let report = instance.holder.report(clock, vec![demand]);
        if self.cut_off[at] > now {
            return;
        }
        for _ in 0..self.rng.random_range(0..=2) {
            let max_delay = if self.rng.random_bool(0.05) {
                6_000.0
            } else {
                60.0
            };
            self.reports
                .push((now + self.rng.random_range(1.0..max_delay), report.clone()));
        }
    }

    pub(super) fn propose_due(&mut self, at: usize) {
        let instance = &mut self.instances[at];
        let clock = instance.clock(self.now);
        if self.now % 50.0 != 0.0 {
            return;
        }
        let Some((term, issuer)) = &mut instance.issuer else {
            return;
        };
        let (term, due) = (*term, issuer.due(clock, &instance.table));
        for command in due {
            self.propose(term, command);
        }
    }
}
