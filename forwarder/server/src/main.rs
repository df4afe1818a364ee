//! The forwarder on sockets: one core, one local executor, and an actor with a bounded mailbox for each
//! client connection, each target, the list, the notices and the decisions.

mod alone;
mod budgets;
mod clients;
mod clock;
mod closing;
mod common;
mod counted;
mod elder;
mod exchange;
mod fanout;
mod gate;
mod ground;
mod ground_news;
mod heir;
mod kept;
mod left_out;
mod list;
mod look;
mod mail;
mod notices;
mod operators;
mod page;
mod passes;
mod pause;
mod relay;
mod reload;
mod roster;
mod rounds;
mod targets;

use std::time::Instant;

use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use plankhill_forwarder_config::fields::Plain;
use plankhill_hot_restart::Lock;
use plankhill_raft_groups::GroupEventStream;
use rustix::process::{getrlimit, Resource};
use slog::{info, warn};

use crate::alone::{address_of, bind, Alone};
use crate::clients::Clients;
use crate::clock::millis;
use crate::common::Common;
use crate::mail::CameIn;

fn main() {
    if let Err(trouble) = run() {
        eprintln!("plankhill-forwarder: {trouble}");
        std::process::exit(1);
    }
}

fn run() -> Plain<()> {
    let mut told = plankhill_forwarder_config::load_config(|name| std::env::var(name).ok())?;
    // Needed until the list is had, and large.
    let known = std::mem::take(&mut told.known_endpoints);
    // What it is told may be more than the system gives: clients would then leave none for discovery and the targets.
    let given = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    told.max_sockets = told
        .max_sockets
        .min(usize::try_from(given).unwrap_or(usize::MAX));
    let (common, news) = Common::start(told)?;
    let executor = common.executor.clone();
    async_io::block_on(executor.run(serve(common, known, news)))
}

async fn serve(
    common: Common,
    known: serde_json::Value,
    news: Option<GroupEventStream>,
) -> Plain<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("signals cannot be waited for: {e}"))?;
    let (log, executor, told) = (
        common.log.clone(),
        common.executor.clone(),
        common.told.clone(),
    );
    let (to_rounds, came_in) = async_channel::bounded(rounds::MAILBOX);
    let (to_notices, owed_notices) = async_channel::bounded(notices::MAILBOX);
    // From the first moment: the loop has to say that it lives.
    let (to_fanout, of_control) = async_channel::bounded(fanout::MAILBOX);
    let ground = |news| ground_news::run(common.clone(), news, to_rounds.clone(), to_fanout);
    let _ground = news.map(|news| executor.spawn(ground(news)));
    let _budgets = common
        .budgets
        .is_some()
        .then(|| executor.spawn(budgets::ticking::run(common.clone())));
    // What two processes of an instance would share then is not handed over yet.
    let copies = common.copies().is_some() || common.budgets.is_some() || common.fanout.is_some();
    let lock = Lock::take(&told.state_folder);
    if copies {
        info!(log, "no new version takes over while the fleet keeps records, budgets or lists"; "key" => "PROXY_FLEET");
    } else if !told.hot_restart {
        info!(log, "no new version can take over, nor this process from an old one"; "key" => "PROXY_HANDOVER");
    }
    let alone = match lock {
        // Without the hand-over the folder is ours, as it was before there were hand-overs.
        Ok(None) if !told.hot_restart && !copies => Some(Alone::start(&told, None)?),
        Ok(None) => None,
        Ok(lock) => Some(Alone::start(&told, lock)?),
        Err(e) => {
            // Nobody can be told from its absence: as it was before there were hand-overs.
            warn!(log, "the folder cannot be locked"; "error" => %e);
            Some(Alone::start(&told, None)?)
        }
    };
    let callers = told
        .admin_address
        .map(|address| bind("PROXY_MGMT", address))
        .transpose()?;
    let mgmt = callers
        .as_ref()
        .and_then(|callers| callers.get_ref().local_addr().ok());
    let _callers =
        callers.map(|c| executor.spawn(operators::listen(common.clone(), c, to_rounds.clone())));
    // Before the folder is asked for: nobody decides while a process takes over.
    let first = list::at_start(&common, known).await;
    let start = match alone {
        Some(alone) => Ok(alone),
        None => match heir::take_over(&common).await? {
            heir::Start::Alone(lock) => Ok(Alone::start(&told, Some(lock))?),
            heir::Start::Inherits(inherited) => Err(inherited),
        },
    };
    let clients = Clients::new(common.clone(), to_rounds.clone());
    let new_rounds = |ledger, left_out| {
        rounds::Rounds::new(
            common.clone(),
            ledger,
            left_out,
            to_notices,
            to_rounds.clone(),
        )
    };
    let (decisions, lock, listener) = match start {
        Ok(Alone {
            lock,
            ledger,
            owed,
            left_out,
            listener,
        }) => {
            info!(log, "starts"; "listen" => %address_of(&listener, told.listen_address), "owed" => owed.len());
            let mut decisions = new_rounds(ledger, left_out);
            decisions.restore(&first.known, owed);
            (decisions, lock, listener)
        }
        Err(inherited) => {
            let heir::Inherited {
                state,
                forwarder,
                listener,
                ledger,
                owed,
                left_out,
                lock,
                passage,
                ears,
            } = *inherited;
            info!(log, "takes over"; "listen" => %address_of(&listener, told.listen_address), "owed" => owed.len(),
                "calls_out" => state.out.len());
            let (to_elder, words) = async_channel::bounded(heir::MAILBOX);
            let elder = heir::Elder {
                common: common.clone(),
                clients: clients.clone(),
                to_rounds: to_rounds.clone(),
                to: to_elder.clone(),
                out: state.out.iter().cloned().collect(),
                pings: state.pings.iter().cloned().collect(),
            };
            let mut decisions = new_rounds(ledger, left_out);
            decisions.inherit(forwarder, state, owed, to_elder);
            decisions.resume(&first.known);
            executor.spawn(passes::tell_all(passage, words)).detach();
            executor.spawn(elder.run(ears)).detach();
            (decisions, Some(lock), listener)
        }
    };
    if let Some(mgmt) = mgmt {
        info!(log, "operators may call"; "mgmt" => %mgmt);
    }
    let rounds = executor.spawn(decisions.run(came_in));
    // Once it is known what the ledger owes.
    let _fanout = executor.spawn(fanout::actor::run(
        common.clone(),
        of_control,
        to_rounds.clone(),
    ));
    let notices = executor.spawn(notices::run(
        common.clone(),
        owed_notices,
        to_rounds.clone(),
    ));
    let (moves, moved) = async_channel::bounded(1);
    let list = executor.spawn(list::run(common.clone(), first, to_rounds.clone(), moved));
    // Held as long as the process lives, whether a new version can ask or not.
    let heirs = lock
        .as_ref()
        .filter(|_| told.hot_restart && !copies)
        .and_then(|lock| elder::hall(&common, lock, &listener, &to_rounds));
    let accepts = executor.spawn(clients.listen(listener));

    let handed_over = async {
        match heirs {
            Some((hall, asked)) => elder::listen(hall, asked).await,
            None => future::pending().await,
        }
        None
    };
    let mut handed_over = executor.spawn(handed_over);
    loop {
        match future::or(async { Some(signals.next().await) }, &mut handed_over).await {
            Some(Some(Ok(Signal::Hup))) => reload::read_again(&common, &moves),
            Some(_) => break,
            None => {
                // The new process does all that now; what is left here ends by itself, or as it is told to.
                drop((notices, list, accepts));
                let told = async {
                    while let Some(Ok(Signal::Hup)) = signals.next().await {}
                    info!(log, "closes");
                    Timer::after(millis(told.shutdown_timeout)).await;
                };
                future::or(rounds, told).await;
                info!(log, "ends");
                return Ok(());
            }
        }
    }
    info!(log, "closes");
    common.gate.end();
    common
        .fanout
        .iter()
        .for_each(|fanout| fanout.closing.set(true));
    let _ = to_rounds.send(CameIn::Closing).await;
    // Requests still come for a moment; each of them is answered.
    let (least, most) = (
        Timer::after(millis(told.min_shutdown_duration)),
        millis(told.shutdown_timeout),
    );
    let all_ended = async {
        rounds.await;
        if let Some(fanout) = &common.fanout {
            fanout.settled().await;
        }
        least.await;
        clients::all_served(&common).await;
    };
    // Notices are still told, where discovery is then. To be asked again changes nothing.
    let heeds = async {
        while let Some(Ok(signal)) = signals.next().await {
            if signal == Signal::Hup {
                reload::read_again(&common, &moves);
            }
        }
        future::pending().await
    };
    // One that asked before the decisions heard of the end may still take over: then it does all that.
    let heir = async {
        handed_over.await;
        drop((notices, list, accepts));
        future::pending().await
    };
    exchange::until(
        Instant::now() + most,
        future::or(all_ended, future::or(heeds, heir)),
    )
    .await;
    info!(log, "ends");
    Ok(())
}
