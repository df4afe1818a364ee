//! What comes from the control group, and what is issued while it is led from here.

use super::LocalQuotas;
use crate::leases::{decode, Command, LeaseIssuer, LeaseTable, Outcome, Report};

impl LocalQuotas {
    /// A command of the control group's log was applied, proposed in `term`.
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

    /// The table's snapshot, in place of commands that were missed. A lease among them is asked for again.
    pub fn replaced(&mut self, state: &[u8]) {
        if let Ok(table) = LeaseTable::restore(state) {
            self.table = table;
            self.update_standing();
        }
    }

    /// This instance leads the control group from now on; `state` is the table's snapshot with all that is committed
    /// from before. The table itself refuses commands of earlier terms.
    pub fn leads(&mut self, now: f64, _term: u64, state: &[u8]) {
        self.replaced(state);
        self.issuer = Some(LeaseIssuer::new(now, self.grace, &self.table));
    }

    /// Another instance may lead the control group.
    pub fn deposed(&mut self) {
        self.issuer = None;
    }

    /// Another instance has reported what it wants: a command to propose, if this one leads.
    pub fn reported(&mut self, now: f64, body: &[u8]) -> Option<Command> {
        let issuer = self.issuer.as_mut()?;
        issuer.reported(now, &self.table, decode::<Report>(body)?)
    }

    /// The commands to be proposed by now, if this instance leads.
    pub fn due(&mut self, now: f64) -> Vec<Command> {
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

    /// A proposal of its own surely never is committed, or was never made.
    pub fn void(&mut self, command: &Command) {
        if let Some(issuer) = &mut self.issuer {
            issuer.discarded(command);
        }
    }
}
