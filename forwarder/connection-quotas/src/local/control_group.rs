//! Input from the control group, and the commands to propose while this instance leads it.

use super::LocalQuotas;
use crate::leases::{decode, Command, LeaseIssuer, LeaseTable, Outcome, Report};

impl LocalQuotas {
    /// Handles a command of the control group's log that was proposed in `term` and is now applied.
    pub fn applied(&mut self, now: f64, term: u64, command: &[u8]) {
        let Some(command) = decode::<Command>(command) else {
            return;
        };
        let outcome = self.table.apply(term, &command);
        if let Some(issuer) = &mut self.issuer {
            issuer.applied(now, &command, outcome);
        }
        match &command {
            Command::Policy { .. } | Command::Settled { .. } => self.update_standing(),
            Command::Grant(grant) if outcome == Outcome::Applied => self.holder.granted(grant),
            Command::Grant(_) | Command::Ended { .. } => {}
        }
    }

    /// Replaces the table by a snapshot, which was received instead of skipped commands. A lease among the skipped
    /// commands is not taken over; the next report requests a new one.
    pub fn snapshot_installed(&mut self, state: &[u8]) {
        if let Ok(table) = LeaseTable::restore(state) {
            self.table = table;
            self.update_standing();
        }
    }

    /// Starts issuing leases, as this instance was elected leader of the control group. `state` is a snapshot of the
    /// table with all commands committed before the election. The table itself refuses commands of earlier terms.
    pub fn became_leader(&mut self, now: f64, _term: u64, state: &[u8]) {
        self.snapshot_installed(state);
        self.issuer = Some(LeaseIssuer::new(now, self.grace, &self.table));
    }

    /// Stops issuing leases, as another instance may now lead the control group.
    pub fn deposed(&mut self) {
        self.issuer = None;
    }

    /// Handles an instance's report of its demands. Returns a command to propose, if this instance leads.
    pub fn reported(&mut self, now: f64, body: &[u8]) -> Option<Command> {
        let issuer = self.issuer.as_mut()?;
        issuer.reported(now, &self.table, decode::<Report>(body)?)
    }

    /// The commands to propose now, if this instance leads.
    pub fn due_commands(&mut self, now: f64) -> Vec<Command> {
        let Some(issuer) = &mut self.issuer else {
            return Vec::new();
        };
        let mut commands = issuer.due(now, &self.table);
        let own_edition = self.own_policy.edition;
        if self
            .table
            .policy()
            .is_none_or(|(policy, _)| policy.edition < own_edition)
        {
            commands.push(Command::Policy {
                text: self.own_policy_text.clone(),
                instances: self.instances.clone(),
            });
        }
        commands
    }

    /// Records that a proposal of this instance was never made or will never be committed.
    pub fn proposal_discarded(&mut self, command: &Command) {
        if let Some(issuer) = &mut self.issuer {
            issuer.discarded(command);
        }
    }
}
