//! The commands that a local instance proposes, repeated until the log answers them.

use plankhill_decisions::interface::Ms;

use super::{LocalInstance, Submission};
use crate::command::{Broadcast, Command, CopyEnd, Rejection};
use crate::names::*;

/// A command that the log has not answered is proposed again after this time.
const RETRY_INTERVAL: Ms = 500.0;
/// A submission that the log has not decided by then is barred: its client is waiting, or has gone.
const SUBMISSION_TIMEOUT: Ms = 2000.0;
/// Open submissions; at that many, a further client is rejected at once.
const MAX_SUBMISSIONS: usize = 256;
/// A copy whose first call was at least this long ago is reported as still in flight: no healthy subscriber
/// takes this long.
const LONG_CALL: Ms = 1000.0;
/// Maximum number of ends, or of copies still in flight, in one command.
const MAX_COPIES_PER_COMMAND: usize = 512;
/// Requests for copies whose answers may still arrive.
const MAX_TICKETS: usize = 64;
/// Parked or cold subscribers that are tracked; the lag of further ones counts.
const MAX_RESTING: usize = 4096;

impl LocalInstance {
    /// Submits the broadcast of a client. [`crate::HostRequest::Accepted`] or `Rejected` follows with the
    /// returned number.
    pub fn submit_broadcast(&mut self, now: Ms, broadcast: Broadcast) -> Result<u64, Rejection> {
        self.state.check_broadcast(&broadcast)?;
        if !self.started || self.submissions.len() >= MAX_SUBMISSIONS {
            return Err(Rejection::Full);
        }
        if self
            .submissions
            .values()
            .any(|open| open.broadcast.id == broadcast.id)
        {
            return Err(Rejection::Known);
        }
        self.next_number += 1;
        self.submissions.insert(
            self.next_number,
            Submission {
                broadcast,
                since: now,
                requested_at: None,
            },
        );
        Ok(self.next_number)
    }

    /// Whether this process has started and has no copy or submission to follow and no copies to request.
    pub fn is_idle(&self) -> bool {
        self.started
            && self.copies.is_empty()
            && self.submissions.is_empty()
            && !self.state.has_copies_for(self.me)
    }

    /// Whether the log has the end of each copy that was assigned here.
    pub fn has_no_copies(&self) -> bool {
        self.copies.is_empty()
    }

    /// The subscriber is parked or cold here, and may be so until `until`.
    pub fn exclude_from_lag(&mut self, subscriber: Subscriber, until: Ms) {
        if self.resting_until.len() < MAX_RESTING || self.resting_until.contains_key(&subscriber) {
            let known = self.resting_until.entry(subscriber).or_insert(until);
            *known = known.max(until);
        }
    }

    fn poll_submissions(&mut self, now: Ms) -> Vec<Command> {
        let (by, process) = (self.me, self.process);
        let mut commands = Vec::new();
        for (&number, submission) in self.submissions.iter_mut() {
            if submission
                .requested_at
                .is_some_and(|requested_at| now - requested_at < RETRY_INTERVAL)
            {
                continue;
            }
            submission.requested_at = Some(now);
            commands.push(match now - submission.since < SUBMISSION_TIMEOUT {
                true => Command::Taken {
                    by,
                    process,
                    number,
                    broadcast: submission.broadcast.clone(),
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

    /// Reports that a subscriber is parked or cold, or no longer is, until the state has it. Until then, the
    /// lag of a resting subscriber may count, and the lag of one that no longer rests may not.
    fn poll_resting(&mut self, now: Ms) -> Vec<Command> {
        let by = self.me;
        let mut commands = Vec::new();
        let state = &self.state;
        self.resting_until.retain(|&subscriber, until| {
            let rests = *until > now;
            if state.is_resting(subscriber, by) != rests {
                commands.push(Command::Rests {
                    by,
                    subscriber,
                    rests,
                });
            }
            rests || state.is_resting(subscriber, by)
        });
        commands.truncate(MAX_COPIES_PER_COMMAND);
        commands
    }

    /// The commands to be proposed for this instance, by the leader.
    pub fn poll_commands(&mut self, now: Ms) -> Vec<Command> {
        let (by, process) = (self.me, self.process);
        if !self.started {
            let is_waiting = self
                .requested_at
                .is_some_and(|requested_at| now - requested_at < RETRY_INTERVAL);
            self.requested_at = self.requested_at.filter(|_| is_waiting).or(Some(now));
            return if is_waiting {
                Vec::new()
            } else {
                vec![Command::Started { by, process }]
            };
        }
        if self.state.process(by) != process {
            // A later process of the instance has taken over.
            return Vec::new();
        }
        let mut commands = self.poll_submissions(now);
        commands.extend(self.poll_resting(now));
        let mut ends = Vec::new();
        let mut in_flight = Vec::new();
        for (&(subscriber, position), local_copy) in self.copies.iter_mut() {
            if let Some((outcome, waited, own)) = local_copy.outcome {
                if ends.len() < MAX_COPIES_PER_COMMAND
                    && local_copy
                        .reported_at
                        .is_none_or(|reported_at| now - reported_at >= RETRY_INTERVAL)
                {
                    local_copy.reported_at = Some(now);
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
            let own = local_copy.first_call.map_or(0.0, |called| now - called);
            if own >= LONG_CALL
                && !local_copy.reported_in_flight
                && in_flight.len() < MAX_COPIES_PER_COMMAND
            {
                local_copy.reported_in_flight = true;
                in_flight.push((subscriber, position, own));
            }
        }
        if !ends.is_empty() {
            commands.push(Command::Ended { by, process, ends });
        }
        if !in_flight.is_empty() {
            commands.push(Command::StillOut {
                by,
                process,
                copies: in_flight,
            });
        }
        let is_waiting = self
            .requested_at
            .is_some_and(|requested_at| now - requested_at < RETRY_INTERVAL);
        if !is_waiting && self.state.has_copies_for(by) {
            self.next_ticket += 1;
            self.requested_at = Some(now);
            self.tickets.insert(self.next_ticket, now);
            if self.tickets.len() > MAX_TICKETS {
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
