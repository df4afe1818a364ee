//! What is open at one pool from here, and what is wanted of it.

use crate::language::{Facts, MemberId};
use crate::leases::{Allowed, Demand};

/// What a connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionUse {
    Event(MemberId),
    /// A ping or trial: on the policy's reserve if there is one, else as any.
    Trial,
}

#[derive(Clone, Debug)]
pub(super) struct Counts {
    /// Of the first target that was used there.
    pub facts: Facts,
    pub idle: u32,
    /// What stands for this forwarder without a lease; worked out anew when the book's policies change.
    pub standing: u32,
    events: Vec<(u32, Demand)>,
    trials: u32,
    trial_wanted: Demand,
}

impl Counts {
    pub fn new(facts: Facts, standing: u32) -> Counts {
        Counts {
            facts,
            idle: 0,
            standing,
            events: Vec::new(),
            trials: 0,
            trial_wanted: Demand::default(),
        }
    }

    pub fn busy(&self) -> u32 {
        self.events.iter().map(|(busy, _)| busy).sum::<u32>() + self.trials
    }

    pub fn all(&self) -> u32 {
        self.idle + self.busy()
    }

    /// Counts one in if there is room, an idle one (`from_idle`) or a new one.
    pub fn enter(
        &mut self,
        now: f64,
        allowed: &Allowed,
        what: ConnectionUse,
        from_idle: bool,
        members: usize,
    ) -> bool {
        if self.events.len() < members {
            self.events.resize_with(members, Default::default);
        }
        let fits = self.all() + u32::from(!from_idle) <= allowed.all;
        let own = match (what, &allowed.members) {
            (ConnectionUse::Trial, Some(members)) => {
                let events: u32 = members.iter().sum();
                self.trials < allowed.trials || allowed.trials == 0 && self.busy() < events
            }
            (ConnectionUse::Event(MemberId(member)), Some(members)) => {
                let member = usize::from(member);
                self.busy_of(member) < members.get(member).copied().unwrap_or(0)
            }
            (_, None) => true,
        };
        let enters = fits && own;
        if enters {
            self.idle -= u32::from(from_idle);
        }
        match what {
            ConnectionUse::Trial => {
                self.trials += u32::from(enters);
                note(&mut self.trial_wanted, now, enters);
            }
            ConnectionUse::Event(MemberId(member)) => {
                if let Some((busy, demand)) = self.events.get_mut(usize::from(member)) {
                    *busy += u32::from(enters);
                    note(demand, now, enters);
                }
            }
        }
        enters
    }

    fn busy_of(&self, member: usize) -> u32 {
        self.events.get(member).map_or(0, |(busy, _)| *busy)
    }

    fn ended(&mut self, now: f64, what: ConnectionUse) {
        match what {
            ConnectionUse::Trial => {
                self.trials = self.trials.saturating_sub(1);
                self.trial_wanted.closed(now);
            }
            ConnectionUse::Event(MemberId(member)) => {
                if let Some((busy, demand)) = self.events.get_mut(usize::from(member)) {
                    *busy = busy.saturating_sub(1);
                    demand.closed(now);
                }
            }
        }
    }

    pub fn rests(&mut self, now: f64, what: ConnectionUse) {
        self.ended(now, what);
        self.idle += 1;
    }

    pub fn left(&mut self, now: f64, what: Option<ConnectionUse>) {
        match what {
            Some(what) => self.ended(now, what),
            None => self.idle = self.idle.saturating_sub(1),
        }
    }

    pub fn wants(&mut self, now: f64) -> (Vec<u32>, u32) {
        let members = self
            .events
            .iter_mut()
            .map(|(_, demand)| demand.wants(now))
            .collect();
        (members, self.trial_wanted.wants(now))
    }

    /// Nothing is open, and nothing wanted.
    pub fn is_over(&mut self, now: f64) -> bool {
        let (members, trials) = self.wants(now);
        self.all() == 0 && trials == 0 && members.iter().all(|wants| *wants == 0)
    }
}

fn note(demand: &mut Demand, now: f64, enters: bool) {
    if enters {
        demand.opened(now);
    } else {
        demand.turned_away(now);
    }
}
