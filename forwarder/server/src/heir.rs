//! The part of a new version that starts beside a running process: it takes over from it, or waits for the
//! folder's lock. What it does next is decided in `plankhill_hot_restart::Heir`.

use std::collections::HashSet;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{EventLog, PendingEvent};
use plankhill_forwarder_config::fields::Plain;
use plankhill_hot_restart::*;
use slog::{info, warn};

use crate::alone;
use crate::clients::Clients;
use crate::clock::millis;
use crate::common::Common;
use crate::exchange::until;
use crate::left_out::LeftOut;
use crate::mail::{CameIn, Handed};
use crate::passes::Told;
use crate::rounds::promises::broken;

/// So long a start waits for the folder while another process holds it and hands nothing over.
const WAITING: Duration = Duration::from_secs(5);
/// Words to the other that wait: verdicts of requests that it had half read, and calls to take back.
pub const MAILBOX: usize = 1024;
/// Between tries.
const PAUSE: Duration = Duration::from_millis(50);
/// The other ends its round, or says no, in less.
const ASKING: Duration = Duration::from_millis(1500);

/// What the process that ran before hands over.
pub struct Inherited {
    pub state: State,
    pub forwarder: Scheduler,
    pub listener: Async<TcpListener>,
    pub ledger: EventLog,
    pub owed: Vec<PendingEvent>,
    pub left_out: LeftOut,
    pub lock: Lock,
    pub passage: Passage,
    pub ears: Ears,
}

pub enum Start {
    Alone(Lock),
    Inherits(Box<Inherited>),
}

/// While another process holds the folder.
pub async fn take_over(common: &Common) -> Plain<Start> {
    let by = Instant::now() + WAITING;
    let folder = &common.told.state_folder;
    let mut told = false;
    alone::is_ours(&common.told)?;
    loop {
        let why = match ask(common).await {
            Ok(inherited) => return Ok(Start::Inherits(Box::new(inherited))),
            Err(e) => e,
        };
        // The other may be ending.
        if let Ok(Some(lock)) = Lock::take(folder) {
            return Ok(Start::Alone(lock));
        }
        if !std::mem::replace(&mut told, true) {
            warn!(common.log, "another process holds the folder and hands nothing over"; "why" => %why);
        }
        if Instant::now() > by {
            let folder = folder.display();
            return Err(format!(
                "PROXY_STATE: {folder}: another process holds it and hands nothing over: {why}"
            ));
        }
        Timer::after(PAUSE).await;
    }
}

async fn ask(common: &Common) -> io::Result<Inherited> {
    let (folder, mut role) = (&common.told.state_folder, Heir::default());
    let passage = connect(folder).await?;
    let mut ears = passage.ears();
    let by = Instant::now() + ASKING;
    let late = || io::Error::from(io::ErrorKind::TimedOut);
    passage
        .tell(
            &Word::Hello {
                version: VERSION,
                names: common.told.all_names(),
            },
            None,
        )
        .await?;
    let (state, listener) = match until(by, ears.next()).await.ok_or_else(late)?? {
        (Word::State(state), Some(listener)) => (*state, listener),
        (Word::No { why }, _) => {
            role.hears(Happens::No);
            return Err(io::Error::other(why));
        }
        _ => return Err(io::Error::other("it says what makes no sense")),
    };
    // It stands still until this one is prepared.
    let read = read(common, &state, listener);
    if role.hears(Happens::State {
        readable: read.is_ok(),
    }) != Does::Prepares
    {
        return Err(read.err().unwrap_or_else(late));
    }
    let (forwarder, listener, mut ledger, owed, left_out) = read?;
    passage.tell(&Word::Prepared, None).await?;
    let heard = until(by, ears.next()).await.ok_or_else(late)??;
    let (Word::Yours, Some(lock)) = heard else {
        return Err(io::Error::other("it goes on itself"));
    };
    if role.hears(Happens::Yours) == Does::Begins {
        ledger.change_owner()?;
    }
    common.clock.follow(state.ahead);
    common.numbers.set(state.next_number);
    passage.tell(&Word::Begun, None).await?;
    let lock = Lock::passed(lock);
    Ok(Inherited {
        state,
        forwarder,
        listener,
        ledger,
        owed,
        left_out,
        lock,
        passage,
        ears,
    })
}

type Read = (
    Scheduler,
    Async<TcpListener>,
    EventLog,
    Vec<PendingEvent>,
    LeftOut,
);

fn read(common: &Common, state: &State, listener: OwnedFd) -> io::Result<Read> {
    let told = &common.told;
    let listener = Async::new(TcpListener::from(listener))?;
    if listener.get_ref().local_addr()?.ip() != told.listen_address.ip() {
        return Err(io::Error::other("it listens at another address"));
    }
    let forwarder = rmp_serde::from_slice(&state.module).map_err(io::Error::other)?;
    let (ledger, owed) = EventLog::open(&told.state_folder, told.max_disk_bytes)?;
    if let Some(traffic) = broken(told, &owed) {
        let why = format!(
            "profiles: {traffic:?}: an event is owed that was promised more than the settings say"
        );
        return Err(io::Error::other(why));
    }
    let left_out =
        LeftOut::open(&told.state_folder, told.max_disk_bytes).map_err(io::Error::other)?;
    Ok((forwarder, listener, ledger, owed, left_out))
}

/// What the process before still has out, and passes on.
pub struct Elder {
    pub common: Common,
    pub clients: Clients,
    pub to_rounds: Sender<CameIn>,
    /// Words to it.
    pub to: Sender<Told>,
    pub out: HashSet<EventId>,
    pub pings: HashSet<TargetId>,
}

impl Elder {
    /// Hears it until it ends.
    pub async fn run(mut self, mut ears: Ears) {
        // Both are within the limit of one: the other keeps the memory that it had.
        let most = self.common.pool.most();
        self.common.pool.set_most((most / 2).max(1));
        while let Ok((word, descriptor)) = ears.next().await {
            if self.hear(word, descriptor).await.is_none() {
                break;
            }
        }
        info!(self.common.log, "the process before has ended";
            "calls_cut" => self.out.len(), "pings_cut" => self.pings.len());
        self.common.aside.set(0);
        self.common.pool.set_most(most);
        // Its calls may have run, and say nothing of their targets.
        for event in self.out {
            let ended = CameIn::SendEnded(
                event,
                AttemptReport::from_outcome(AttemptOutcome::Cancelled),
            );
            let _ = self.to_rounds.send(ended).await;
        }
        for target in self.pings {
            let _ = self
                .to_rounds
                .send(CameIn::PingEnded {
                    target,
                    fate: AttemptOutcome::NotSent,
                })
                .await;
        }
    }

    /// What is answered there goes to the other process as that word.
    fn passes_on<T: 'static>(&self, word: impl FnOnce(T) -> Word + 'static) -> Sender<T> {
        let (answer, answers) = async_channel::bounded(1);
        let to = self.to.clone();
        let told = async move {
            if let Ok(answer) = answers.recv().await {
                let _ = to.send((word(answer), None)).await;
            }
        };
        self.common.executor.spawn(told).detach();
        answer
    }

    /// None once nobody decides any more.
    async fn hear(&mut self, word: Word, descriptor: Option<OwnedFd>) -> Option<()> {
        let stream = descriptor.and_then(|descriptor| Async::new(TcpStream::from(descriptor)).ok());
        let came = match word {
            Word::Client { asked, left } => {
                // What was held there is held here now.
                self.common
                    .aside
                    .set(self.common.aside.get().saturating_sub(1));
                self.clients.take_over(stream?, asked, millis(left));
                return Some(());
            }
            Word::Holds(descriptors) => {
                self.common.aside.set(descriptors);
                return Some(());
            }
            Word::Idle { target, age } => {
                let since = Instant::now()
                    .checked_sub(millis(age))
                    .unwrap_or_else(Instant::now);
                CameIn::Kept(target, stream?, since)
            }
            Word::Event(handed) => {
                let number = handed.number;
                let answer = self.passes_on(move |verdict| Word::Verdict { number, verdict });
                CameIn::Event(Handed {
                    number,
                    event: handed.event,
                    patience_ends: handed.patience_ends,
                    body: handed.body.into(),
                    answer,
                })
            }
            Word::Withdrawn { event, number } => CameIn::Withdrawn(event, number),
            Word::SendEnded(event, ended) => {
                self.out.remove(&event);
                CameIn::SendEnded(event, ended)
            }
            Word::PingEnded { target, fate } => {
                self.pings.remove(&target);
                CameIn::PingEnded { target, fate }
            }
            Word::Operator { number, order } => CameIn::Operator(
                order,
                self.passes_on(move |reply| Word::Reply { number, reply }),
            ),
            // What it says before it hands over, or what this one says itself.
            _ => return Some(()),
        };
        self.to_rounds.send(came).await.ok()
    }
}
