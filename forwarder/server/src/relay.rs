//! The decisions' place in a process that has handed over: nothing is decided here any more. What comes in
//! goes to the new process, and what that says goes to those who wait here. It ends with the last of them.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::future;
use plankhill_admin::Reply;
use plankhill_decisions::interface::*;
use plankhill_hot_restart::{Handed, Verdict, Word};
use slog::info;

use crate::common::Common;
use crate::exchange::until;
use crate::mail::{self, CameIn, ToTarget};
use crate::passes::Told;
use crate::roster::Roster;

/// Between looks at who is still there.
const LOOK: Duration = Duration::from_millis(25);
/// After a last look the way is given so long to be emptied.
const EMPTYING: Duration = Duration::from_millis(500);

pub struct Relay {
    pub common: Common,
    pub targets: Roster,
    pub out: HashSet<EventId>,
    pub pings: HashSet<TargetId>,
    pub to: Sender<Told>,
    pub from: Receiver<Word>,
}

#[derive(Default)]
struct Waiting {
    verdicts: HashMap<u64, Sender<Verdict>>,
    replies: HashMap<u64, Sender<Reply>>,
    orders: u64,
}

impl Relay {
    pub async fn run(mut self, mailbox: Receiver<CameIn>) {
        self.targets.pass_idle();
        let mut waiting = Waiting::default();
        let mut told = usize::MAX;
        while self.holds() > 0 || !mailbox.is_empty() {
            if std::mem::replace(&mut told, self.holds()) != self.holds() {
                let _ = self.to.send((Word::Holds(self.holds()), None)).await;
            }
            let came = async { mailbox.recv().await.ok().map(Ok) };
            let said = async { self.from.recv().await.ok().map(Err) };
            match until(Instant::now() + LOOK, future::or(came, said)).await {
                None => (),
                Some(Some(Ok(came))) => {
                    let Some(word) = self.passed_on(came, &mut waiting) else {
                        continue;
                    };
                    if self.to.send((word, None)).await.is_err() {
                        break;
                    }
                }
                Some(Some(Err(word))) => self.carry_out(word, &mut waiting),
                // The new process has ended, or the old one's own actors have.
                Some(None) => break,
            }
            if self.from.is_closed() && self.from.is_empty() {
                break;
            }
        }
        // What is on the way still goes.
        self.to.close();
        let by = Instant::now() + EMPTYING;
        while !self.to.is_empty() && Instant::now() < by {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
        info!(self.common.log, "has passed on all"; "clients" => self.common.clients.get(),
            "calls" => self.out.len());
    }

    fn holds(&self) -> usize {
        self.common.clients.get() + self.out.len() + self.pings.len()
    }

    fn passed_on(&mut self, came: CameIn, waiting: &mut Waiting) -> Option<Word> {
        Some(match came {
            CameIn::Event(mail::Handed {
                number,
                event,
                patience_ends,
                body,
                answer,
            }) => {
                waiting.verdicts.insert(number, answer);
                Word::Event(Handed {
                    number,
                    event,
                    patience_ends,
                    body: body.to_vec(),
                })
            }
            CameIn::Withdrawn(event, number) => Word::Withdrawn { event, number },
            CameIn::SendEnded(event, ended) => {
                self.out.remove(&event);
                Word::SendEnded(event, ended)
            }
            CameIn::PingEnded { target, fate } => {
                self.pings.remove(&target);
                Word::PingEnded { target, fate }
            }
            CameIn::Operator(order, reply) => {
                waiting.orders += 1;
                waiting.replies.insert(waiting.orders, reply);
                Word::Operator {
                    number: waiting.orders,
                    order,
                }
            }
            CameIn::AtRest(target) => {
                self.targets.at_rest(&target);
                return None;
            }
            // The new process watches the list, tells the notices and ends on its own.
            CameIn::List(_)
            | CameIn::Heard(_)
            | CameIn::Kept(..)
            | CameIn::HandOver { .. }
            | CameIn::Ground(_)
            | CameIn::TellEnd(..)
            | CameIn::Look(_)
            | CameIn::Closing => return None,
        })
    }

    fn carry_out(&mut self, word: Word, waiting: &mut Waiting) {
        match word {
            Word::Verdict { number, verdict } => {
                let answer = waiting.verdicts.remove(&number);
                answer.map(|answer| answer.try_send(verdict));
            }
            Word::Reply { number, reply } => {
                let waits = waiting.replies.remove(&number);
                waits.map(|waits| waits.try_send(reply));
            }
            Word::TakeBack(target) => drop(self.targets.tell(&target, ToTarget::TakeBack)),
            _ => (),
        }
    }
}
