//! What a station asks of the log, again and again until it is answered.

use plankhill_decisions::interface::Ms;

use super::{Attempt, LocalInstance};
use crate::command::{Broadcast, Command, CopyEnd, Rejection};
use crate::names::*;

/// What was not answered by the log is asked again after so long.
const AGAIN: Ms = 500.0;
/// An attempt that the log did not decide by then is barred: its client waits, or has gone.
const LATE: Ms = 2000.0;
/// Attempts open at a time; past them a client is refused at once.
const ATTEMPTS: usize = 256;
/// A copy whose first call went so long ago is told as still out: no healthy one is.
const LONG: Ms = 1000.0;
/// Ends and copies still out that one command carries.
const MOST: usize = 512;
/// Tickets whose answers may still come.
const TICKETS: usize = 64;
/// Subscribers at rest of which the station knows; others' lags count.
const RESTING: usize = 4096;

impl LocalInstance {
    /// A client hands in a broadcast. [`crate::HostRequest::Accepted`] or `Refused` follows under the number told.
    pub fn attempt(&mut self, now: Ms, broadcast: Broadcast) -> Result<u64, Rejection> {
        self.state.would_take(&broadcast)?;
        if !self.started || self.attempts.len() >= ATTEMPTS {
            return Err(Rejection::Full);
        }
        if self
            .attempts
            .values()
            .any(|open| open.broadcast.id == broadcast.id)
        {
            return Err(Rejection::Known);
        }
        self.next_number += 1;
        self.attempts.insert(
            self.next_number,
            Attempt {
                broadcast,
                since: now,
                asked: None,
            },
        );
        Ok(self.next_number)
    }

    /// Whether nothing is open that the passing of time alone decides.
    pub fn is_idle(&self) -> bool {
        self.started
            && self.held.is_empty()
            && self.attempts.is_empty()
            && !self.state.has_more_for(self.me)
    }

    /// Whether the log has the end of each copy that was handed in here.
    pub fn is_settled(&self) -> bool {
        self.held.is_empty()
    }

    /// The subscriber is parked or cold here, and may be so until then.
    pub fn exclude_from_lag(&mut self, subscriber: Subscriber, until: Ms) {
        if self.resting.len() < RESTING || self.resting.contains_key(&subscriber) {
            let known = self.resting.entry(subscriber).or_insert(until);
            *known = known.max(until);
        }
    }

    fn attempted(&mut self, now: Ms) -> Vec<Command> {
        let (by, process) = (self.me, self.process);
        let mut commands = Vec::new();
        for (&number, attempt) in self.attempts.iter_mut() {
            if attempt.asked.is_some_and(|asked| now - asked < AGAIN) {
                continue;
            }
            attempt.asked = Some(now);
            commands.push(match now - attempt.since < LATE {
                true => Command::Taken {
                    by,
                    process,
                    number,
                    broadcast: attempt.broadcast.clone(),
                },
                false => Command::Barred {
                    by,
                    process,
                    number,
                },
            });
        }
        commands
    }

    /// Told once each way: where it is lost, a lag of a subscriber at rest may count, or one that is back does
    /// not for a while.
    fn rested(&mut self, now: Ms) -> Vec<Command> {
        let by = self.me;
        let mut commands = Vec::new();
        let state = &self.state;
        self.resting.retain(|&subscriber, until| {
            let rests = *until > now;
            if state.rests(subscriber, by) != rests {
                commands.push(Command::Rests {
                    by,
                    subscriber,
                    rests,
                });
            }
            rests || state.rests(subscriber, by)
        });
        commands.truncate(MOST);
        commands
    }

    /// What is to be proposed for this instance, by whoever leads.
    pub fn poll_commands(&mut self, now: Ms) -> Vec<Command> {
        let (by, process) = (self.me, self.process);
        if !self.started {
            let waits = self.asked.is_some_and(|asked| now - asked < AGAIN);
            self.asked = self.asked.filter(|_| waits).or(Some(now));
            return if waits {
                Vec::new()
            } else {
                vec![Command::Started { by, process }]
            };
        }
        if self.state.process(by) != process {
            // Another process of the folder goes on.
            return Vec::new();
        }
        let mut commands = self.attempted(now);
        commands.extend(self.rested(now));
        let mut ends = Vec::new();
        let mut out = Vec::new();
        for (&(subscriber, position), held) in self.held.iter_mut() {
            if let Some((outcome, waited, own)) = held.over {
                if ends.len() < MOST && held.told.is_none_or(|told| now - told >= AGAIN) {
                    held.told = Some(now);
                    ends.push(CopyEnd {
                        subscriber,
                        position,
                        outcome,
                        waited,
                        own,
                    });
                }
                continue;
            }
            let own = held.first_call.map_or(0.0, |called| now - called);
            if own >= LONG && !held.told_out && out.len() < MOST {
                held.told_out = true;
                out.push((subscriber, position, own));
            }
        }
        if !ends.is_empty() {
            commands.push(Command::Ended { by, process, ends });
        }
        if !out.is_empty() {
            commands.push(Command::StillOut {
                by,
                process,
                copies: out,
            });
        }
        let waits = self.asked.is_some_and(|asked| now - asked < AGAIN);
        if !waits && self.state.has_more_for(by) {
            self.next_ticket += 1;
            self.asked = Some(now);
            self.tickets.insert(self.next_ticket, now);
            if self.tickets.len() > TICKETS {
                self.tickets.pop_first();
            }
            commands.push(Command::Spread {
                by,
                process,
                ticket: self.next_ticket,
            });
        }
        commands
    }
}
