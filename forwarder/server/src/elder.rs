//! The part of the process that is there when a new version starts: it hears who asks, has the decisions
//! stand still, and hands over. What it does next is decided in `plankhill_hot_restart::Elder`.

use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use plankhill_hot_restart::*;
use slog::{info, warn};

use crate::common::Common;
use crate::exchange::until;
use crate::mail::{After, CameIn, StoodStill};
use crate::passes::{tell_all, Told};

/// A new process says hello at once.
const ASKING: Duration = Duration::from_secs(1);
/// So long the decisions stand still for one that does not get on: well under what a client waits.
const PREPARING: Duration = Duration::from_millis(250);
const PAUSE: Duration = Duration::from_millis(20);
/// Words on their way to the new process.
const MAILBOX: usize = 64;

pub struct Hall {
    pub common: Common,
    pub to_rounds: Sender<CameIn>,
    pub lock: Lock,
    /// The clients' listener, to be handed over.
    pub listener: OwnedFd,
}

/// Where a new version asks; none where there is no Unix socket to be had.
pub fn hall(
    common: &Common,
    lock: &Lock,
    listener: &Async<TcpListener>,
    to_rounds: &Sender<CameIn>,
) -> Option<(Hall, Async<UnixListener>)> {
    let made = || {
        let asked = plankhill_hot_restart::bind(&common.told.state_folder)?;
        let (common, to_rounds) = (common.clone(), to_rounds.clone());
        let (lock, listener) = (
            Lock::passed(lock.share()?),
            listener.as_fd().try_clone_to_owned()?,
        );
        Ok((
            Hall {
                common,
                to_rounds,
                lock,
                listener,
            },
            asked,
        ))
    };
    let trouble = |e: std::io::Error| warn!(common.log, "no new version can take over"; "error" => %e, "key" => "PROXY_HANDOVER");
    made().map_err(trouble).ok()
}

/// Until it has handed over.
pub async fn listen(hall: Hall, asked: Async<UnixListener>) {
    loop {
        let handed_over = match asked.accept().await {
            Ok((stream, _)) => hall.attend(stream).await,
            Err(e) => {
                warn!(hall.common.log, "a new process cannot be heard"; "error" => %e);
                Timer::after(PAUSE).await;
                false
            }
        };
        if handed_over {
            return;
        }
    }
}

impl Hall {
    async fn attend(&self, stream: Async<UnixStream>) -> bool {
        let (passage, mut role) = (Passage::new(stream), Elder::default());
        let mut ears = passage.ears();
        let Some(Ok((Word::Hello { version, names }, _))) =
            until(Instant::now() + ASKING, ears.next()).await
        else {
            return false;
        };
        let why = match () {
            _ if version != VERSION => "it speaks another version",
            _ if names != self.common.told.all_names() => "traffic types, kinds or zones differ",
            _ => "",
        };
        let mut stood_still = None;
        if role.hears(Happens::Asked {
            fits: why.is_empty(),
        }) == Does::StandsStill
        {
            let (state, states) = async_channel::bounded(1);
            let (after, outcome) = async_channel::bounded(1);
            let asked = CameIn::HandOver { state, outcome };
            if self.to_rounds.send(asked).await.is_ok() {
                stood_still = states.recv().await.ok().map(|state| (state, after));
            }
        }
        let Some((
            StoodStill {
                state,
                ledger,
                since,
            },
            after,
        )) = stood_still
        else {
            let why = if why.is_empty() { "it is ending" } else { why };
            info!(self.common.log, "hands nothing over"; "why" => why);
            let _ = until(
                Instant::now() + ASKING,
                passage.tell(&Word::No { why: why.into() }, None),
            )
            .await;
            return false;
        };
        let happens = match self
            .prepared(&passage, &mut ears, state, since + PREPARING)
            .await
        {
            Some(true) => Happens::Prepared,
            Some(false) => Happens::Gone { changed: false },
            None => Happens::TimeIsUp,
        };
        let mut does = role.hears(happens);
        if does == Does::Yields {
            let has_begun = match self.lock.share() {
                Ok(lock) => passage.tell(&Word::Yours, Some(lock)).await.is_ok(),
                Err(_) => false,
            };
            // No bound here: it is the other's from now on, until it is seen to have ended.
            let has_begun = has_begun && matches!(ears.next().await, Ok((Word::Begun, _)));
            let changed = || {
                plankhill_event_log::has_length_changed(&self.common.told.state_folder, ledger)
                    .unwrap_or(true)
            };
            does = role.hears(match has_begun {
                true => Happens::Begun,
                false => Happens::Gone { changed: changed() },
            });
        }
        let pause = since.elapsed().as_secs_f64() * 1000.0;
        match does {
            Does::Relays => {
                info!(self.common.log, "has handed over"; "pause_ms" => format!("{pause:.1}"));
                let (to, from) = self.open(passage, ears);
                let _ = after.send(After::Relays(to, from)).await;
                true
            }
            Does::Ends => {
                warn!(
                    self.common.log,
                    "the new process has ended, and what it did stands in the ledger"
                );
                let _ = after.send(After::Ends).await;
                true
            }
            _ => {
                warn!(self.common.log, "goes on: the new process did not take over";
                    "pause_ms" => format!("{pause:.1}"));
                let _ = after.send(After::GoesOn).await;
                false
            }
        }
    }

    /// Whether the other is prepared; None if it is not in time.
    async fn prepared(
        &self,
        passage: &Passage,
        ears: &mut Ears,
        state: State,
        by: Instant,
    ) -> Option<bool> {
        let Ok(listener) = self.listener.as_fd().try_clone_to_owned() else {
            return Some(false);
        };
        let both = async {
            let told = passage
                .tell(&Word::State(Box::new(state)), Some(listener))
                .await
                .is_ok();
            told && matches!(ears.next().await, Ok((Word::Prepared, _)))
        };
        until(by, both).await
    }

    /// From now on words and connections go to the new process, and words come from it.
    fn open(&self, passage: Passage, mut ears: Ears) -> (Sender<Told>, Receiver<Word>) {
        let (to, told) = async_channel::bounded::<Told>(MAILBOX);
        let (heard, from) = async_channel::bounded(MAILBOX);
        self.common.passes.open(to.clone());
        let hears = async move {
            while let Ok((word, _)) = ears.next().await {
                if heard.send(word).await.is_err() {
                    return;
                }
            }
        };
        self.common.executor.spawn(tell_all(passage, told)).detach();
        self.common.executor.spawn(hears).detach();
        (to, from)
    }
}
