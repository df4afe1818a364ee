//! The predecessor's side of a hot restart: accepts the request of a successor, pauses the event
//! loop, and hands over. [`Predecessor`] decides each next step. Spawned by `server`.

use std::io;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use plankhill_hot_restart::{
    Action, Message, MessageReceiver, MessageSender, PositionNames, Predecessor, ProcessState,
    Signal, StateLock, PROTOCOL_VERSION,
};
use slog::{info, warn};

use super::transfer::{send_all, Outgoing};
use crate::clock::to_ms;
use crate::context::ServerContext;
use crate::messages::{HandoverOutcome, HandoverRequest, HandoverSnapshot, Input};
use crate::stream::until;

/// Time limit for the hello of a new process, which sends it immediately.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit from the pause of the event loop until the successor reports that it is prepared:
/// well under the timeout of a client. Without that report the event loop resumes.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(250);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Limit of queued messages to the successor, and of those from it.
const MAX_QUEUED_MESSAGES: usize = 64;

/// Listens for successors, and owns the descriptors to hand over.
pub struct HandoverListener {
    context: ServerContext,
    to_event_loop: Sender<Input>,
    lock: StateLock,
    clients_listener: OwnedFd,
    successors: Async<UnixListener>,
}

/// Result of a successor's request.
#[derive(PartialEq, Eq)]
enum RequestOutcome {
    HandedOver,
    NotHandedOver,
}

/// Why a successor is declined.
enum Incompatible {
    Version,
    Names,
}

impl Incompatible {
    fn reason(&self) -> &'static str {
        match self {
            Incompatible::Version => "it speaks another version",
            Incompatible::Names => "traffic types, kinds or zones differ",
        }
    }
}

/// A paused event loop.
struct PausedEventLoop {
    snapshot: HandoverSnapshot,
    outcome: Sender<HandoverOutcome>,
}

impl HandoverListener {
    /// Returns `None` if the Unix socket cannot be bound; in this case no new version can take
    /// over.
    pub fn bind(
        context: &ServerContext,
        lock: &StateLock,
        clients_listener: &Async<TcpListener>,
        to_event_loop: &Sender<Input>,
    ) -> Option<Self> {
        match Self::try_bind(context, lock, clients_listener, to_event_loop) {
            Ok(listener) => Some(listener),
            Err(error) => {
                warn!(context.log, "hot restart not possible"; "error" => %error,
                    "key" => "PROXY_HANDOVER");
                None
            }
        }
    }

    fn try_bind(
        context: &ServerContext,
        lock: &StateLock,
        clients_listener: &Async<TcpListener>,
        to_event_loop: &Sender<Input>,
    ) -> io::Result<Self> {
        Ok(HandoverListener {
            successors: plankhill_hot_restart::bind(&context.config.state_folder)?,
            context: context.clone(),
            to_event_loop: to_event_loop.clone(),
            lock: StateLock::from_descriptor(lock.try_clone_descriptor()?),
            clients_listener: clients_listener.as_fd().try_clone_to_owned()?,
        })
    }

    /// Returns once this process has handed over.
    pub async fn listen(self) {
        loop {
            match self.successors.accept().await {
                Ok((stream, _)) => {
                    if self.handle_request(stream).await == RequestOutcome::HandedOver {
                        return;
                    }
                }
                Err(error) => {
                    warn!(self.context.log, "successor cannot be accepted"; "error" => %error);
                    Timer::after(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn handle_request(&self, stream: Async<UnixStream>) -> RequestOutcome {
        let sender = MessageSender::new(stream);
        let mut receiver = sender.receiver();
        let hello = until(Instant::now() + HELLO_TIMEOUT, receiver.receive()).await;
        let Some(Ok((Message::Hello { version, names }, _))) = hello else {
            return RequestOutcome::NotHandedOver;
        };
        let mut handshake = Predecessor::default();
        let incompatible = self.incompatibility(version, &names);
        let asked = Signal::TakeoverRequested {
            compatible: incompatible.is_none(),
        };
        let paused = match handshake.on_signal(asked) {
            Action::Pause => self.pause_event_loop().await,
            _ => None,
        };
        let Some(PausedEventLoop { snapshot, outcome }) = paused else {
            let reason = incompatible
                .as_ref()
                .map_or("it is ending", Incompatible::reason);
            self.decline(&sender, reason).await;
            return RequestOutcome::NotHandedOver;
        };
        let HandoverSnapshot {
            state,
            log_length,
            paused_since,
        } = snapshot;
        let deadline = paused_since + PREPARE_TIMEOUT;
        let prepared = self
            .send_state(&sender, &mut receiver, state, deadline)
            .await;
        let mut action = handshake.on_signal(prepared);
        if action == Action::TransferOwnership {
            action = handshake.on_signal(self.transfer(&sender, &mut receiver, log_length).await);
        }
        let pause_ms = format!("{:.1}", to_ms(paused_since.elapsed()));
        match action {
            Action::Relay => {
                info!(self.context.log, "handed over to successor"; "pause_ms" => pause_ms);
                let (to_successor, from_successor) = self.open_transfer(sender, receiver);
                let relay = HandoverOutcome::Relay(to_successor, from_successor);
                let _ = outcome.send(relay).await;
                RequestOutcome::HandedOver
            }
            Action::Exit => {
                warn!(
                    self.context.log,
                    "successor has ended, its changes are in the event log"
                );
                let _ = outcome.send(HandoverOutcome::Exit).await;
                RequestOutcome::HandedOver
            }
            _ => {
                warn!(self.context.log, "successor did not take over"; "pause_ms" => pause_ms);
                let _ = outcome.send(HandoverOutcome::Resume).await;
                RequestOutcome::NotHandedOver
            }
        }
    }

    fn incompatibility(&self, version: u32, names: &PositionNames) -> Option<Incompatible> {
        if version != PROTOCOL_VERSION {
            return Some(Incompatible::Version);
        }
        if *names != self.context.config.all_names() {
            return Some(Incompatible::Names);
        }
        None
    }

    async fn decline(&self, sender: &MessageSender, reason: &str) {
        info!(self.context.log, "handover declined"; "reason" => reason);
        let declined = Message::Declined {
            reason: reason.into(),
        };
        let _ = until(Instant::now() + HELLO_TIMEOUT, sender.send(&declined, None)).await;
    }

    /// Returns `None` if the event loop is ending or its state cannot be handed over.
    async fn pause_event_loop(&self) -> Option<PausedEventLoop> {
        let (snapshot, snapshots) = async_channel::bounded(1);
        let (outcome, outcomes) = async_channel::bounded(1);
        let request = HandoverRequest {
            snapshot,
            outcome: outcomes,
        };
        self.to_event_loop
            .send(Input::HandOver(request))
            .await
            .ok()?;
        let snapshot = snapshots.recv().await.ok()?;
        Some(PausedEventLoop { snapshot, outcome })
    }

    /// Sends the state, and waits until the successor is prepared.
    async fn send_state(
        &self,
        sender: &MessageSender,
        receiver: &mut MessageReceiver,
        state: ProcessState,
        deadline: Instant,
    ) -> Signal {
        let Ok(listener) = self.clients_listener.as_fd().try_clone_to_owned() else {
            return Signal::PeerGone {
                owner_changed: false,
            };
        };
        let prepared = async {
            let state = Message::State(Box::new(state));
            sender.send(&state, Some(listener)).await.is_ok()
                && matches!(receiver.receive().await, Ok((Message::Prepared, _)))
        };
        match until(deadline, prepared).await {
            Some(true) => Signal::Prepared,
            Some(false) => Signal::PeerGone {
                owner_changed: false,
            },
            None => Signal::TimedOut,
        }
    }

    /// Transfers ownership of the forwarder to the successor. There is no time limit: from now on
    /// the successor is the owner until it is known to have ended.
    async fn transfer(
        &self,
        sender: &MessageSender,
        receiver: &mut MessageReceiver,
        log_length: u64,
    ) -> Signal {
        let sent = match self.lock.try_clone_descriptor() {
            Ok(lock) => sender.send(&Message::Ownership, Some(lock)).await.is_ok(),
            Err(_) => false,
        };
        if sent && matches!(receiver.receive().await, Ok((Message::Activated, _))) {
            return Signal::Activated;
        }
        let folder = &self.context.config.state_folder;
        let changed = plankhill_event_log::has_length_changed(folder, log_length);
        Signal::PeerGone {
            owner_changed: changed.unwrap_or(true),
        }
    }

    /// Starts to send messages and connections to the successor, and to receive messages from it.
    fn open_transfer(
        &self,
        sender: MessageSender,
        mut receiver: MessageReceiver,
    ) -> (Sender<Outgoing>, Receiver<Message>) {
        let (to_successor, outgoing) = async_channel::bounded::<Outgoing>(MAX_QUEUED_MESSAGES);
        let (received, from_successor) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        self.context.transfer.open(to_successor.clone());
        let receive_all = async move {
            while let Ok((message, _)) = receiver.receive().await {
                if received.send(message).await.is_err() {
                    return;
                }
            }
        };
        self.context
            .executor
            .spawn(send_all(sender, outgoing))
            .detach();
        self.context.executor.spawn(receive_all).detach();
        (to_successor, from_successor)
    }
}
