//! The successor's side of a hot restart: a new version that starts beside a running process takes
//! over from it, or waits for the state folder's lock. [`Successor`] decides each next step. Called
//! by `server` at its start.

use std::collections::HashSet;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use plankhill_decisions::interface::{AttemptOutcome, AttemptReport, EventId, TargetId};
use plankhill_decisions::scheduler::Scheduler;
use plankhill_event_log::{EventLog, OpenError, PendingEvent};
use plankhill_hot_restart::{
    connect, Action, Message, MessageReceiver, MessageSender, ProcessState, Signal, StateLock,
    Successor, PROTOCOL_VERSION,
};
use slog::{info, warn};

use super::transfer::Outgoing;
use crate::clients::Clients;
use crate::clock::to_duration;
use crate::context::ServerContext;
use crate::disabled_targets::DisabledTargetStore;
use crate::event_loop::accepted_types::first_with_weaker_guarantee;
use crate::messages::{InheritedConnection, Input, Submission};
use crate::state_folder::{check_owner, StartError};
use crate::stream::until;

/// Time limit for a start while another process holds the folder's lock and hands nothing over.
const FOLDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of queued messages to the predecessor: responses to requests that it had partly read, and
/// cancellations of calls.
pub const MAX_QUEUED_MESSAGES: usize = 1024;
/// Interval between attempts to take over.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for the handover; the predecessor ends its iteration, or declines, in less time.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Everything that the predecessor hands over.
pub struct Inherited {
    pub state: ProcessState,
    pub opened: OpenedFromState,
    pub lock: StateLock,
    pub sender: MessageSender,
    pub receiver: MessageReceiver,
}

/// Opened from the predecessor's state and from its folder, while the predecessor is paused.
pub struct OpenedFromState {
    pub scheduler: Scheduler,
    pub listener: Async<TcpListener>,
    pub event_log: EventLog,
    pub pending: Vec<PendingEvent>,
    pub disabled_targets: DisabledTargetStore,
}

pub enum Start {
    /// The predecessor has ended, and this process has locked the folder.
    FromFolder(StateLock),
    /// The predecessor has handed over.
    Inherited(Box<Inherited>),
}

/// Why the process cannot start.
#[derive(Debug, thiserror::Error)]
pub enum TakeOverError {
    /// The folder belongs to another forwarder, or its owner file cannot be read.
    #[error(transparent)]
    Folder(#[from] StartError),
    /// Another process holds the folder's lock beyond the time limit.
    #[error("PROXY_STATE: {folder}: locked by a process that hands nothing over: {error}")]
    Locked {
        /// The state folder.
        folder: String,
        /// Why the last attempt failed.
        error: HandoverError,
    },
}

/// Why an attempt to take over failed.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The connection or a file failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The event log cannot be opened.
    #[error(transparent)]
    EventLog(#[from] OpenError),
    /// The predecessor does not respond in time.
    #[error("timed out")]
    TimedOut,
    /// The predecessor declines the handover.
    #[error("{0}")]
    Declined(String),
    /// The predecessor sent a message that the protocol does not allow at this point.
    #[error("the predecessor sent an unexpected message")]
    Protocol,
    /// The predecessor resumes.
    #[error("the predecessor resumed")]
    Resumed,
    /// The predecessor listens at another address.
    #[error("the predecessor listens on another address")]
    OtherAddress,
    /// The scheduler's state cannot be decoded.
    #[error("{0}")]
    Scheduler(#[from] rmp_serde::decode::Error),
    /// The record of disabled targets cannot be used.
    #[error("{0}")]
    DisabledTargets(#[from] crate::disabled_targets::DisabledTargetsError),
    /// The settings weaken the guarantee of a pending event of this traffic type.
    #[error("profiles: {0:?}: a pending event has a stronger guarantee than the settings")]
    WeakenedGuarantee(String),
}

/// Takes over from the process that holds the folder's lock, or waits for its end.
///
/// # Errors
/// The folder belongs to another forwarder, its owner file cannot be read, or another process holds
/// the lock beyond the time limit.
pub async fn take_over(context: &ServerContext) -> Result<Start, TakeOverError> {
    let deadline = Instant::now() + FOLDER_TIMEOUT;
    let folder = &context.config.state_folder;
    let mut logged = false;
    check_owner(&context.config)?;
    loop {
        let error = match request_handover(context).await {
            Ok(inherited) => return Ok(Start::Inherited(Box::new(inherited))),
            Err(error) => error,
        };
        // The predecessor may have ended.
        if let Ok(Some(lock)) = StateLock::try_acquire(folder) {
            return Ok(Start::FromFolder(lock));
        }
        if !logged {
            warn!(context.log, "state folder held by another process, no handover";
                "error" => %error);
            logged = true;
        }
        if Instant::now() > deadline {
            return Err(TakeOverError::Locked {
                folder: folder.display().to_string(),
                error,
            });
        }
        Timer::after(RETRY_INTERVAL).await;
    }
}

async fn request_handover(context: &ServerContext) -> Result<Inherited, HandoverError> {
    let sender = connect(&context.config.state_folder).await?;
    let mut receiver = sender.receiver();
    let mut handshake = Successor::default();
    let deadline = Instant::now() + HANDOVER_TIMEOUT;
    let names = context.config.all_names();
    sender
        .send(
            &Message::Hello {
                version: PROTOCOL_VERSION,
                names,
            },
            None,
        )
        .await?;
    let (state, listener) = match receive_until(deadline, &mut receiver).await? {
        (Message::State(state), Some(listener)) => (*state, listener),
        (Message::Declined { reason }, _) => {
            handshake.on_signal(Signal::Declined);
            return Err(HandoverError::Declined(reason));
        }
        _ => return Err(HandoverError::Protocol),
    };
    // The predecessor is paused until this process is prepared.
    let opened = open_from_state(context, &state, listener);
    let action = handshake.on_signal(Signal::State {
        readable: opened.is_ok(),
    });
    let mut opened = opened?;
    if action != Action::ReportPrepared {
        return Err(HandoverError::TimedOut);
    }
    sender.send(&Message::Prepared, None).await?;
    let (Message::Ownership, Some(lock)) = receive_until(deadline, &mut receiver).await? else {
        return Err(HandoverError::Resumed);
    };
    if handshake.on_signal(Signal::Ownership) == Action::Activate {
        opened.event_log.change_owner()?;
    }
    context.clock.adopt_offset(state.clock_offset);
    context.request_numbers.set(state.next_request_number);
    sender.send(&Message::Activated, None).await?;
    let lock = StateLock::from_descriptor(lock);
    Ok(Inherited {
        state,
        opened,
        lock,
        sender,
        receiver,
    })
}

async fn receive_until(
    deadline: Instant,
    receiver: &mut MessageReceiver,
) -> Result<(Message, Option<OwnedFd>), HandoverError> {
    let received = until(deadline, receiver.receive()).await;
    Ok(received.ok_or(HandoverError::TimedOut)??)
}

fn open_from_state(
    context: &ServerContext,
    state: &ProcessState,
    listener: OwnedFd,
) -> Result<OpenedFromState, HandoverError> {
    let config = &context.config;
    let listener = Async::new(TcpListener::from(listener))?;
    if listener.get_ref().local_addr()?.ip() != config.listen_address.ip() {
        return Err(HandoverError::OtherAddress);
    }
    let scheduler = rmp_serde::from_slice(&state.scheduler)?;
    let (event_log, pending) =
        EventLog::open(&config.state_folder, config.max_disk_bytes).map_err(io::Error::from)?;
    if let Some(traffic_type) = first_with_weaker_guarantee(config, &pending) {
        return Err(HandoverError::WeakenedGuarantee(traffic_type.to_owned()));
    }
    let disabled_targets = DisabledTargetStore::open(&config.state_folder, config.max_disk_bytes)?;
    Ok(OpenedFromState {
        scheduler,
        listener,
        event_log,
        pending,
        disabled_targets,
    })
}

/// Connection to the predecessor, with the calls that it still has in flight.
pub struct PredecessorLink {
    pub context: ServerContext,
    pub clients: Clients,
    pub to_event_loop: Sender<Input>,
    pub to_predecessor: Sender<Outgoing>,
    pub attempts_in_flight: HashSet<EventId>,
    pub health_checks_in_flight: HashSet<TargetId>,
}

/// The event loop has ended, or a connection of the predecessor is unusable.
struct LinkEnded;

impl PredecessorLink {
    /// Receives the predecessor's messages until it ends.
    pub async fn run(mut self, mut receiver: MessageReceiver) {
        // Both processes together have to stay within the memory limit: the predecessor keeps the
        // memory that it has.
        let buffers = self.context.buffers.clone();
        let max_buffers = buffers.max_buffers();
        buffers.set_max_buffers((max_buffers / 2).max(1));
        while let Ok((message, descriptor)) = receiver.receive().await {
            if self.apply(message, descriptor).await.is_err() {
                break;
            }
        }
        info!(self.context.log, "predecessor has ended";
            "calls_lost" => self.attempts_in_flight.len(),
            "health_checks_lost" => self.health_checks_in_flight.len());
        self.context.predecessor_descriptors.set(0);
        buffers.set_max_buffers(max_buffers);
        self.end_calls().await;
    }

    /// Ends the calls that the predecessor still had in flight: they may have run, and their
    /// outcomes do not count for their targets.
    async fn end_calls(self) {
        for event in self.attempts_in_flight {
            let report = AttemptReport::from_outcome(AttemptOutcome::Cancelled);
            let _ = self
                .to_event_loop
                .send(Input::AttemptEnded { event, report })
                .await;
        }
        for target in self.health_checks_in_flight {
            let outcome = AttemptOutcome::NotSent;
            let _ = self
                .to_event_loop
                .send(Input::HealthCheckEnded { target, outcome })
                .await;
        }
    }

    /// Creates a sender whose value is sent to the predecessor in a message.
    fn forwarding_sender<T: 'static>(
        &self,
        to_message: impl FnOnce(T) -> Message + 'static,
    ) -> Sender<T> {
        let (answer, answers) = async_channel::bounded(1);
        let to_predecessor = self.to_predecessor.clone();
        let forward = async move {
            if let Ok(answer) = answers.recv().await {
                let _ = to_predecessor.send((to_message(answer), None)).await;
            }
        };
        self.context.executor.spawn(forward).detach();
        answer
    }

    /// Applies a message of the predecessor.
    ///
    /// # Errors
    /// The event loop has ended, or a connection is unusable.
    async fn apply(
        &mut self,
        message: Message,
        descriptor: Option<OwnedFd>,
    ) -> Result<(), LinkEnded> {
        let stream = descriptor.and_then(|descriptor| Async::new(TcpStream::from(descriptor)).ok());
        let input = match message {
            Message::ClientConnection {
                requests_served,
                time_left,
            } => {
                // The descriptor is now open in this process instead of the predecessor.
                let descriptors = &self.context.predecessor_descriptors;
                descriptors.set(descriptors.get().saturating_sub(1));
                let stream = stream.ok_or(LinkEnded)?;
                self.clients
                    .take_over(stream, requests_served, to_duration(time_left));
                return Ok(());
            }
            Message::OpenDescriptors(descriptors) => {
                self.context.predecessor_descriptors.set(descriptors);
                return Ok(());
            }
            Message::IdleConnection { target, idle_for } => {
                let now = Instant::now();
                let idle_since = now.checked_sub(to_duration(idle_for)).unwrap_or(now);
                let stream = stream.ok_or(LinkEnded)?;
                Input::ConnectionInherited(InheritedConnection {
                    target,
                    stream,
                    idle_since,
                })
            }
            Message::EventSubmitted(submitted) => {
                let number = submitted.number;
                let response = self.forwarding_sender(move |response| Message::SubmitAnswered {
                    number,
                    response,
                });
                Input::Submitted(Submission {
                    request_number: number,
                    event: submitted.event,
                    deadline: submitted.deadline,
                    body: submitted.body.into(),
                    response,
                })
            }
            Message::EventWithdrawn { event, number } => Input::Withdrawn {
                event,
                request_number: number,
            },
            Message::AttemptEnded(event, report) => {
                self.attempts_in_flight.remove(&event);
                Input::AttemptEnded { event, report }
            }
            Message::HealthCheckEnded { target, outcome } => {
                self.health_checks_in_flight.remove(&target);
                Input::HealthCheckEnded { target, outcome }
            }
            Message::AdminCommand { number, command } => {
                let reply =
                    self.forwarding_sender(move |reply| Message::AdminReplied { number, reply });
                Input::AdminCommand { command, reply }
            }
            // Messages of the handshake, and messages that only this process sends.
            Message::Hello { .. }
            | Message::Prepared
            | Message::Activated
            | Message::SubmitAnswered { .. }
            | Message::AdminReplied { .. }
            | Message::CancelUnsent(_)
            | Message::Declined { .. }
            | Message::State(_)
            | Message::Ownership => return Ok(()),
        };
        self.to_event_loop.send(input).await.map_err(|_| LinkEnded)
    }
}
