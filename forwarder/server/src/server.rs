//! Start, signals and end of the process: creates the tasks, takes over from a predecessor process
//! or opens the state folder, serves until a signal or a successor ends it, and shuts down
//! gracefully. Called by `main`.

use std::io;
use std::net::TcpListener;
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_hot_restart::StateLock;
use plankhill_raft_groups::{GroupEvent, GroupEventStream};
use rustix::process::{getrlimit, Resource};
use serde_json::Value;
use slog::{info, warn};

use crate::clients::{self, Clients};
use crate::clock::to_duration;
use crate::connection_quotas;
use crate::context::ServerContext;
use crate::discovery::watch::{self, InitialList};
use crate::event_loop::{EventLoop, MAX_MAILBOX_INPUTS};
use crate::hot_restart::predecessor::HandoverListener;
use crate::hot_restart::successor::{self, Inherited, PredecessorLink, Start, TakeOverError};
use crate::hot_restart::transfer;
use crate::messages::{CompletionNotice, Input};
use crate::raft::RaftStartError;
use crate::state_folder::{bind, local_address, OpenedState, StartError};
use crate::stream::until;
use crate::{admin_listener, fanout, notifier, raft_events, reload};

/// Why the process ends before it serves. The message is one line for the operator, and names the
/// key to change.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The configuration is invalid.
    #[error("{0}")]
    Config(String),
    /// The Raft groups cannot be started.
    #[error(transparent)]
    Raft(#[from] RaftStartError),
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    /// The state folder or an address cannot be used.
    #[error(transparent)]
    Start(#[from] StartError),
    /// Another process has locked the state folder.
    #[error(transparent)]
    TakeOver(#[from] TakeOverError),
}

/// Loads the configuration, and serves until the process is to end.
///
/// # Errors
/// The configuration is invalid, or the state folder or an address cannot be used.
pub fn run() -> Result<(), ServerError> {
    let mut config = plankhill_forwarder_config::load_config(|name| std::env::var(name).ok())
        .map_err(|error| ServerError::Config(error.to_string()))?;
    // Taken out of the configuration, since it is large and only needed until the list is loaded.
    let known_endpoints = std::mem::take(&mut config.known_endpoints);
    limit_sockets(&mut config);
    let (context, group_events) = ServerContext::start(config)?;
    let executor = context.executor.clone();
    async_io::block_on(executor.run(serve(context, known_endpoints, group_events)))
}

/// Lowers the configured limit of sockets to that of the system: otherwise clients could use up the
/// sockets for discovery and the targets.
fn limit_sockets(config: &mut ForwarderConfig) {
    let system_limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let system_limit = usize::try_from(system_limit).unwrap_or(usize::MAX);
    config.max_sockets = config.max_sockets.min(system_limit);
}

/// Mailboxes of the tasks that run for the lifetime of the process.
struct Mailboxes {
    to_event_loop: Sender<Input>,
    inputs: Receiver<Input>,
    to_notifier: Sender<CompletionNotice>,
    notices: Receiver<CompletionNotice>,
    to_fanout: Sender<GroupEvent>,
    group_events: Receiver<GroupEvent>,
}

impl Mailboxes {
    fn new() -> Self {
        let (to_event_loop, inputs) = async_channel::bounded(MAX_MAILBOX_INPUTS);
        let (to_notifier, notices) = async_channel::bounded(notifier::MAX_QUEUED_NOTICES);
        let (to_fanout, group_events) = async_channel::bounded(fanout::MAX_QUEUED_GROUP_EVENTS);
        Mailboxes {
            to_event_loop,
            inputs,
            to_notifier,
            notices,
            to_fanout,
            group_events,
        }
    }
}

/// Whether this process may take over from another process of this forwarder, or hand over to one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum HotRestart {
    Enabled,
    /// `PROXY_HANDOVER` is `off`.
    Disabled,
    /// The handover does not support the state of replication, quotas or lists yet.
    UnsupportedWithFleet,
}

impl HotRestart {
    fn of(context: &ServerContext) -> Self {
        let uses_fleet =
            context.replication().is_some() || context.quotas.is_some() || context.fanout.is_some();
        if uses_fleet {
            HotRestart::UnsupportedWithFleet
        } else if context.config.hot_restart {
            HotRestart::Enabled
        } else {
            HotRestart::Disabled
        }
    }

    fn log(self, context: &ServerContext) {
        match self {
            HotRestart::Enabled => (),
            HotRestart::Disabled => {
                info!(context.log, "hot restart disabled"; "key" => "PROXY_HANDOVER");
            }
            HotRestart::UnsupportedWithFleet => {
                info!(context.log, "hot restart disabled: the fleet has replication, quotas or \
                    lists"; "key" => "PROXY_FLEET");
            }
        }
    }
}

/// An event loop that is ready to run, with the lock and the listener.
struct OpenedServer {
    event_loop: EventLoop,
    /// Held for the lifetime of the process, whether or not a successor can request a handover.
    lock: Option<StateLock>,
    listener: Async<TcpListener>,
}

async fn serve(
    context: ServerContext,
    known_endpoints: Value,
    group_events: Option<GroupEventStream>,
) -> Result<(), ServerError> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(ServerError::Signals)?;
    let executor = context.executor.clone();
    let config = context.config.clone();
    let mailboxes = Mailboxes::new();
    let to_event_loop = mailboxes.to_event_loop.clone();
    // Spawned first, since the executor has to feed the watchdog from the start.
    let _raft_events = group_events.map(|events| {
        let to_fanout = mailboxes.to_fanout.clone();
        executor.spawn(raft_events::run(
            context.clone(),
            events,
            to_event_loop.clone(),
            to_fanout,
        ))
    });
    let _quotas = executor.spawn(connection_quotas::ticker::run(context.clone()));
    let hot_restart = HotRestart::of(&context);
    let state = open_if_unlocked(&context, hot_restart)?;
    let admin = match config.admin_address {
        Some(address) => Some(bind("PROXY_MGMT", address)?),
        None => None,
    };
    let admin_address = admin
        .as_ref()
        .and_then(|listener| listener.get_ref().local_addr().ok());
    let _admin = admin.map(|listener| {
        let listening = admin_listener::listen(context.clone(), listener, to_event_loop.clone());
        executor.spawn(listening)
    });
    // Loaded before the handover is requested, since no process makes decisions during the
    // handover.
    let initial = watch::load_initial(&context, known_endpoints).await;
    let clients = Clients::new(context.clone(), to_event_loop.clone());
    let opened = open(&context, &clients, &mailboxes, &initial, state).await?;
    let OpenedServer {
        event_loop,
        lock,
        listener,
    } = opened;
    if let Some(address) = admin_address {
        info!(context.log, "admin address open"; "mgmt" => %address);
    }
    let Mailboxes {
        inputs,
        notices,
        group_events,
        to_notifier,
        to_fanout,
        ..
    } = mailboxes;
    // The event loop and the dispatch of Raft events have clones: the receivers end when those are
    // dropped.
    drop((to_notifier, to_fanout));
    let event_loop = executor.spawn(event_loop.run(inputs));
    // Spawned after the event loop has restored the events pending in the log.
    let _fanout = executor.spawn(fanout::actor::run(
        context.clone(),
        group_events,
        to_event_loop.clone(),
    ));
    let notifier = executor.spawn(notifier::run(
        context.clone(),
        notices,
        to_event_loop.clone(),
    ));
    let (to_watch, discovery_moved) = async_channel::bounded(1);
    let watching = watch::run(
        context.clone(),
        initial,
        to_event_loop.clone(),
        discovery_moved,
    );
    let watch = executor.spawn(watching);
    let handover = match &lock {
        Some(lock) if hot_restart == HotRestart::Enabled => {
            HandoverListener::bind(&context, lock, &listener, &to_event_loop)
        }
        _ => None,
    };
    let accept = executor.spawn(clients.listen(listener));
    let handed_over = executor.spawn(async move {
        match handover {
            Some(handover) => handover.listen().await,
            None => future::pending().await,
        }
    });
    let running = RunningServer {
        context,
        to_event_loop,
        to_watch,
        event_loop,
        successor_tasks: vec![notifier, watch, accept],
        handed_over,
    };
    running.run(&mut signals).await;
    Ok(())
}

/// Opens the state folder, unless another process holds its lock. In that case the other process
/// has to hand over or to end.
fn open_if_unlocked(
    context: &ServerContext,
    hot_restart: HotRestart,
) -> Result<Option<OpenedState>, StartError> {
    let config = &context.config;
    let lock = StateLock::try_acquire(&config.state_folder);
    hot_restart.log(context);
    match lock {
        // Without hot restart the folder is used regardless of the lock, as in versions without hot
        // restarts.
        Ok(None) if hot_restart == HotRestart::Disabled => {
            Ok(Some(OpenedState::open(config, None)?))
        }
        Ok(None) => Ok(None),
        Ok(lock) => Ok(Some(OpenedState::open(config, lock)?)),
        Err(error) => {
            // Another process cannot be detected: the folder is used regardless, as in versions
            // without hot restarts.
            warn!(context.log, "state folder cannot be locked"; "error" => %error);
            Ok(Some(OpenedState::open(config, None)?))
        }
    }
}

/// Opens the event loop from the state folder, or from the state that a predecessor hands over.
async fn open(
    context: &ServerContext,
    clients: &Clients,
    mailboxes: &Mailboxes,
    initial: &InitialList,
    state: Option<OpenedState>,
) -> Result<OpenedServer, ServerError> {
    if let Some(state) = state {
        return Ok(open_from_folder(context, mailboxes, initial, state));
    }
    match successor::take_over(context).await? {
        Start::FromFolder(lock) => {
            let state = OpenedState::open(&context.config, Some(lock))?;
            Ok(open_from_folder(context, mailboxes, initial, state))
        }
        Start::Inherited(inherited) => Ok(open_inherited(
            context, clients, mailboxes, initial, *inherited,
        )),
    }
}

fn open_from_folder(
    context: &ServerContext,
    mailboxes: &Mailboxes,
    initial: &InitialList,
    state: OpenedState,
) -> OpenedServer {
    let OpenedState {
        lock,
        event_log,
        pending,
        disabled_targets,
        listener,
    } = state;
    let address = local_address(&listener, context.config.listen_address);
    info!(context.log, "server started"; "listen" => %address, "pending" => pending.len());
    let mut event_loop = EventLoop::new(
        context.clone(),
        event_log,
        disabled_targets,
        mailboxes.to_notifier.clone(),
        mailboxes.to_event_loop.clone(),
    );
    event_loop.restore(&initial.endpoints, pending);
    OpenedServer {
        event_loop,
        lock,
        listener,
    }
}

fn open_inherited(
    context: &ServerContext,
    clients: &Clients,
    mailboxes: &Mailboxes,
    initial: &InitialList,
    inherited: Inherited,
) -> OpenedServer {
    let Inherited {
        state,
        opened,
        lock,
        sender,
        receiver,
    } = inherited;
    let address = local_address(&opened.listener, context.config.listen_address);
    info!(context.log, "server took over from predecessor"; "listen" => %address,
        "pending" => opened.pending.len(), "attempts_in_flight" => state.attempts_in_flight.len());
    let (to_predecessor, outgoing) = async_channel::bounded(successor::MAX_QUEUED_MESSAGES);
    let link = PredecessorLink {
        context: context.clone(),
        clients: clients.clone(),
        to_event_loop: mailboxes.to_event_loop.clone(),
        to_predecessor: to_predecessor.clone(),
        attempts_in_flight: state.attempts_in_flight.iter().cloned().collect(),
        health_checks_in_flight: state.health_checks_in_flight.iter().cloned().collect(),
    };
    let mut event_loop = EventLoop::new(
        context.clone(),
        opened.event_log,
        opened.disabled_targets,
        mailboxes.to_notifier.clone(),
        mailboxes.to_event_loop.clone(),
    );
    event_loop.inherit(opened.scheduler, state, opened.pending, to_predecessor);
    event_loop.resume(&initial.endpoints);
    context
        .executor
        .spawn(transfer::send_all(sender, outgoing))
        .detach();
    context.executor.spawn(link.run(receiver)).detach();
    OpenedServer {
        event_loop,
        lock: Some(lock),
        listener: opened.listener,
    }
}

/// A process that serves until a signal or a successor ends it.
struct RunningServer {
    context: ServerContext,
    to_event_loop: Sender<Input>,
    /// Notifies the watch that the address of discovery has changed.
    to_watch: Sender<()>,
    event_loop: Task<()>,
    /// The notifier, the watch and the clients' listener: from the handover on these are tasks of
    /// the successor.
    successor_tasks: Vec<Task<()>>,
    /// Completes once this process has handed over.
    handed_over: Task<()>,
}

/// The next event that a running server handles.
enum ServerEvent {
    Signal(Option<io::Result<Signal>>),
    HandedOver,
}

impl RunningServer {
    async fn run(mut self, signals: &mut Signals) {
        loop {
            let signal = async { ServerEvent::Signal(signals.next().await) };
            let handed_over = async {
                (&mut self.handed_over).await;
                ServerEvent::HandedOver
            };
            match future::or(signal, handed_over).await {
                ServerEvent::Signal(Some(Ok(Signal::Hup))) => {
                    reload::reload_config(&self.context, &self.to_watch);
                }
                ServerEvent::Signal(_) => return self.shut_down(signals).await,
                ServerEvent::HandedOver => return self.finish_relay(signals).await,
            }
        }
    }

    /// Ends the tasks that the successor has taken over. The relay ends by itself, or at the
    /// shutdown timeout after a signal.
    async fn finish_relay(self, signals: &mut Signals) {
        let RunningServer {
            context,
            event_loop,
            successor_tasks,
            ..
        } = self;
        drop(successor_tasks);
        let shutdown = async {
            while let Some(Ok(Signal::Hup)) = signals.next().await {}
            info!(context.log, "shutdown started");
            Timer::after(to_duration(context.config.shutdown_timeout)).await;
        };
        future::or(event_loop, shutdown).await;
        info!(context.log, "server ended");
    }

    /// Accepts no new events, and ends once nothing is pending and all clients have their
    /// responses, or at the shutdown timeout.
    async fn shut_down(self, signals: &mut Signals) {
        let RunningServer {
            context,
            to_event_loop,
            to_watch,
            event_loop,
            successor_tasks,
            handed_over,
        } = self;
        info!(context.log, "shutdown started");
        context.client_gate.shut_down();
        if let Some(fanout) = &context.fanout {
            fanout.begin_shutdown();
        }
        let _ = to_event_loop.send(Input::ShutdownRequested).await;
        // Requests still arrive for a short time; each of them is answered.
        let min_duration = Timer::after(to_duration(context.config.min_shutdown_duration));
        let timeout = to_duration(context.config.shutdown_timeout);
        let all_ended = async {
            event_loop.await;
            if let Some(fanout) = &context.fanout {
                fanout.wait_until_settled().await;
            }
            min_duration.await;
            clients::wait_until_served(&context).await;
        };
        // Notices are still sent, to the address of discovery at that time. Further termination
        // signals change nothing.
        let reloads = async {
            while let Some(Ok(signal)) = signals.next().await {
                if signal == Signal::Hup {
                    reload::reload_config(&context, &to_watch);
                }
            }
            future::pending().await
        };
        // A successor whose request was sent before the event loop received the shutdown may still
        // take over: then it runs these tasks.
        let successor = async {
            handed_over.await;
            drop(successor_tasks);
            future::pending().await
        };
        let ended = future::or(all_ended, future::or(reloads, successor));
        until(Instant::now() + timeout, ended).await;
        info!(context.log, "server ended");
    }
}
