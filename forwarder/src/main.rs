//! The forwarder on sockets: one core, one local executor, and an actor with a bounded mailbox for each
//! client connection, each target, the list, the notices and the decisions.

mod clients;
mod clock;
mod counted;
mod exchange;
mod gate;
mod kept;
mod left_out;
mod list;
mod notices;
mod operators;
mod rounds;
mod targets;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use plankhill_buffers::Pool;
use plankhill_ledger::Ledger;
use plankhill_terms::{fields::Plain, Told};
use slog::{info, o, warn, Drain, Logger};

use crate::clock::{millis, Clock};
use crate::gate::Gate;
use crate::left_out::LeftOut;

/// What every actor is given.
#[derive(Clone)]
pub struct Common {
    pub executor: Rc<LocalExecutor<'static>>,
    pub pool: Pool,
    pub clock: Clock,
    pub log: Logger,
    pub told: Rc<Told>,
    /// Where discovery is: the file of the configuration may name another address while we run.
    pub discovery: Rc<Cell<SocketAddr>>,
    /// Whether clients are to come.
    pub gate: Rc<Gate>,
    /// Whether this process decides, can write down what it takes on, and knows where to deliver it.
    pub ready: Rc<Cell<bool>>,
}

/// As many connections wait to be accepted: several times what clients open in a burst.
const QUEUE: i32 = 1024;

fn main() {
    if let Err(trouble) = run() {
        eprintln!("plankhill-forwarder: {trouble}");
        std::process::exit(1);
    }
}

fn run() -> Plain<()> {
    let mut told = plankhill_terms::told(|name| std::env::var(name).ok())?;
    // Needed until the list is had, and large.
    let known = std::mem::take(&mut told.known);
    let told = Rc::new(told);
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stdout());
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build();
    let log = Logger::root(drain.filter_level(told.log_level).ignore_res(), o!("name" => told.name.clone()));
    let (ledger, owed) = Ledger::open(&told.state, told.disk)
        .map_err(|e| format!("PROXY_STATE: the ledger in {}: {e}", told.state.display()))?;
    let left_out = LeftOut::open(&told.state, told.disk)?;
    let bind = |name: &str, address| {
        Async::<std::net::TcpListener>::bind(address)
            .map_err(|e| format!("{name}: {address} cannot be listened on: {e}"))
    };
    let callers = told.mgmt.map(|address| bind("PROXY_MGMT", address)).transpose()?;
    let listener = bind("PROXY_LISTEN", told.listen)?;
    // The library's queue of 128 would overflow when many connect at once, and all others wait a second.
    rustix::net::listen(&listener, QUEUE).map_err(|e| format!("PROXY_LISTEN: {e}"))?;
    let common = Common {
        executor: Rc::new(LocalExecutor::new()),
        // Half of the memory is for bodies and messages under way.
        pool: Pool::new(exchange::MESSAGE, (told.memory / 2) as usize / exchange::MESSAGE),
        clock: Clock::start(),
        log,
        discovery: Rc::new(Cell::new(told.discovery)),
        gate: Rc::default(),
        ready: Rc::default(),
        told,
    };
    let executor = common.executor.clone();
    let starts = Starts { ledger, owed, left_out, known, listener, callers };
    async_io::block_on(executor.run(serve(common, starts)))
}

/// What a process starts from.
struct Starts {
    ledger: Ledger,
    owed: Vec<plankhill_ledger::Owed>,
    left_out: LeftOut,
    known: serde_json::Value,
    listener: Async<std::net::TcpListener>,
    callers: Option<Async<std::net::TcpListener>>,
}

async fn serve(common: Common, starts: Starts) -> Plain<()> {
    let Starts { ledger, owed, left_out, known, listener, callers } = starts;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("signals cannot be waited for: {e}"))?;
    let (log, executor) = (common.log.clone(), common.executor.clone());
    info!(log, "starts"; "listen" => %listener.get_ref().local_addr().unwrap_or(common.told.listen), "owed" => owed.len());
    let (to_rounds, came_in) = async_channel::bounded(rounds::MAILBOX);
    let (to_notices, owed_notices) = async_channel::bounded(notices::MAILBOX);
    let mgmt = callers.as_ref().and_then(|callers| callers.get_ref().local_addr().ok());
    if let Some(mgmt) = mgmt {
        info!(log, "operators may call"; "mgmt" => %mgmt);
    }
    let _callers = callers.map(|c| executor.spawn(operators::listen(common.clone(), c, to_rounds.clone())));
    let mut decisions = rounds::Rounds::new(common.clone(), ledger, left_out, to_notices, to_rounds.clone());
    let known = list::at_start(&common, known).await;
    decisions.restore(&known, owed);
    let rounds = executor.spawn(decisions.run(came_in));
    let _notices = executor.spawn(notices::run(common.clone(), owed_notices, to_rounds.clone()));
    let (moves, moved) = async_channel::bounded(1);
    let _list = executor.spawn(list::run(common.clone(), known, to_rounds.clone(), moved));
    let _clients = executor.spawn(clients::listen(common.clone(), listener, to_rounds.clone()));

    while let Some(Ok(Signal::Hup)) = signals.next().await {
        read_again(&common, &moves);
    }
    info!(log, "closes");
    common.gate.end();
    let _ = to_rounds.send(rounds::CameIn::Closing).await;
    // Requests still come for a moment; each of them is answered.
    let (least, most) = (Timer::after(millis(common.told.closing_least)), millis(common.told.closing_time));
    let all_ended = async {
        rounds.await;
        least.await;
    };
    exchange::until(Instant::now() + most, all_ended).await;
    info!(log, "ends");
    Ok(())
}

/// What the file of the configuration says now: discovery may have moved, the rest waits for a new start.
fn read_again(common: &Common, moves: &Sender<()>) {
    let told = match plankhill_terms::told_again(|name| std::env::var(name).ok()) {
        Ok(told) => told,
        Err(trouble) => return warn!(common.log, "all stays as it was"; "trouble" => trouble),
    };
    for key in told.needs_restart(&common.told) {
        warn!(common.log, "takes effect only with a new start"; "key" => key);
    }
    if common.discovery.replace(told.discovery) != told.discovery {
        info!(common.log, "discovery moves"; "to" => %told.discovery);
        // One word in the mailbox is enough: the address is read when it is taken out.
        let _ = moves.try_send(());
    }
}
