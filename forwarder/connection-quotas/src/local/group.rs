//! What is heard of the control group, and what is given while it is led from here.

use super::LocalQuotas;
use crate::leases::*;

impl LocalQuotas {
    /// A command of the control group's log, proposed in `term`.
    pub fn applied(&mut self, now: f64, term: u64, command: &[u8]) {
        let Some(command) = decode::<Command>(command) else {
            return;
        };
        let outcome = self.book.apply(term, &command);
        if let Some((_, giver)) = &mut self.gives {
            giver.applied(now, &command, outcome);
        }
        if !matches!(command, Command::Grant(_) | Command::Ended { .. }) {
            self.stands_anew();
        }
        if let (Command::Grant(grant), Outcome::Done) = (&command, outcome) {
            self.holder.granted(grant);
        }
    }

    /// The book as a whole, in place of commands that were missed. A lease among them is asked for anew.
    pub fn replaced(&mut self, state: &[u8]) {
        if let Ok(book) = LeaseTable::restore(state) {
            self.book = book;
            self.stands_anew();
        }
    }

    /// It leads the control group from now on, and `state` is all that counts from before.
    pub fn leads(&mut self, now: f64, term: u64, state: &[u8]) {
        self.replaced(state);
        self.gives = Some((term, Giver::new(now, self.grace, &self.book)));
    }

    pub fn deposed(&mut self) {
        self.gives = None;
    }

    /// What another one wants: a command to propose, if it leads.
    pub fn reported(&mut self, now: f64, body: &[u8]) -> Option<Command> {
        let (_, giver) = self.gives.as_mut()?;
        giver.reported(now, &self.book, decode::<Report>(body)?)
    }

    /// What is to be proposed by now, if it leads.
    pub fn due(&mut self, now: f64) -> Vec<Command> {
        let Some((_, giver)) = &mut self.gives else {
            return Vec::new();
        };
        let mut due = giver.due(now, &self.book);
        if self
            .book
            .policy()
            .is_none_or(|(policy, _)| policy.edition < self.told.edition)
        {
            due.push(Command::Policy {
                text: self.text.clone(),
                instances: self.instances.clone(),
            });
        }
        due
    }

    /// A proposal of its own surely never counts, or was never made.
    pub fn void(&mut self, command: &Command) {
        if let Some((_, giver)) = &mut self.gives {
            giver.void(command);
        }
    }
}
