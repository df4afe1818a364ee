//! Replaces the event loop in a process that has handed over, and makes no decisions: inputs are
//! forwarded to the successor, and the successor's replies to the clients and operators that wait
//! in this process. The relay ends once no client, call or health check is open.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use plankhill_admin::AdminReply;
use plankhill_decisions::interface::{EventId, TargetId};
use plankhill_hot_restart::{Message, SubmitResponse, SubmittedEvent};
use slog::info;

use super::transfer::Outgoing;
use crate::context::ServerContext;
use crate::messages::{Input, TargetCommand};
use crate::stream::until;
use crate::target_table::TargetTable;

/// Interval of the checks whether descriptors are still open.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time limit for sending the remaining messages at the end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

pub struct Relay {
    pub context: ServerContext,
    pub targets: TargetTable,
    pub attempts_in_flight: HashSet<EventId>,
    pub health_checks_in_flight: HashSet<TargetId>,
    pub to_successor: Sender<Outgoing>,
    pub from_successor: Receiver<Message>,
}

/// Clients and operators that wait for a reply of the successor, by request number.
#[derive(Default)]
struct PendingReplies {
    responses: HashMap<u64, Sender<SubmitResponse>>,
    admin_replies: HashMap<u64, Sender<AdminReply>>,
    last_admin_number: u64,
}

/// The next event that the relay handles.
enum Next {
    Input(Input),
    FromSuccessor(Message),
    /// The successor or the tasks of this process have ended.
    Closed,
}

impl Relay {
    /// Relays until nothing is open or the successor has ended.
    pub async fn run(mut self, mailbox: Receiver<Input>) {
        self.targets.transfer_idle();
        let mut pending = PendingReplies::default();
        let mut reported = None;
        while self.open_descriptors() > 0 || !mailbox.is_empty() {
            let open = self.open_descriptors();
            if reported != Some(open) {
                reported = Some(open);
                let _ = self
                    .to_successor
                    .send((Message::OpenDescriptors(open), None))
                    .await;
            }
            match until(Instant::now() + POLL_INTERVAL, self.next(&mailbox)).await {
                None => (),
                Some(Next::Input(input)) => {
                    let Some(message) = self.message_for(input, &mut pending) else {
                        continue;
                    };
                    if self.to_successor.send((message, None)).await.is_err() {
                        break;
                    }
                }
                Some(Next::FromSuccessor(message)) => self.apply(message, &mut pending),
                Some(Next::Closed) => break,
            }
            if self.from_successor.is_closed() && self.from_successor.is_empty() {
                break;
            }
        }
        self.flush().await;
        info!(self.context.log, "relay finished"; "clients" => self.context.open_clients.get(),
            "calls" => self.attempts_in_flight.len());
    }

    async fn next(&self, mailbox: &Receiver<Input>) -> Next {
        let input = async {
            match mailbox.recv().await {
                Ok(input) => Next::Input(input),
                Err(_) => Next::Closed,
            }
        };
        let message = async {
            match self.from_successor.recv().await {
                Ok(message) => Next::FromSuccessor(message),
                Err(_) => Next::Closed,
            }
        };
        future::or(input, message).await
    }

    /// Waits until the queued messages are sent, within a time limit.
    async fn flush(&self) {
        self.to_successor.close();
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while !self.to_successor.is_empty() && Instant::now() < deadline {
            Timer::after(FLUSH_POLL_INTERVAL).await;
        }
    }

    /// Number of open descriptors of clients and calls in this process.
    fn open_descriptors(&self) -> usize {
        self.context.open_clients.get()
            + self.attempts_in_flight.len()
            + self.health_checks_in_flight.len()
    }

    /// Converts an input to a message for the successor; `None` for an input that concerns only
    /// this process.
    fn message_for(&mut self, input: Input, pending: &mut PendingReplies) -> Option<Message> {
        match input {
            Input::Submitted(submission) => {
                let number = submission.request_number;
                pending.responses.insert(number, submission.response);
                Some(Message::EventSubmitted(SubmittedEvent {
                    number,
                    event: submission.event,
                    deadline: submission.deadline,
                    body: submission.body.to_vec(),
                }))
            }
            Input::Withdrawn {
                event,
                request_number,
            } => Some(Message::EventWithdrawn {
                event,
                number: request_number,
            }),
            Input::AttemptEnded { event, report } => {
                self.attempts_in_flight.remove(&event);
                Some(Message::AttemptEnded(event, report))
            }
            Input::HealthCheckEnded { target, outcome } => {
                self.health_checks_in_flight.remove(&target);
                Some(Message::HealthCheckEnded { target, outcome })
            }
            Input::AdminCommand { command, reply } => {
                pending.last_admin_number += 1;
                let number = pending.last_admin_number;
                pending.admin_replies.insert(number, reply);
                Some(Message::AdminCommand { number, command })
            }
            Input::TargetActorStopped(target) => {
                self.targets.actor_stopped(&target);
                None
            }
            // The successor itself watches the endpoint list, sends the notices and shuts down.
            Input::EndpointPage(_)
            | Input::NoticesAcknowledged(_)
            | Input::ConnectionInherited(_)
            | Input::HandOver(_)
            | Input::GroupEvent(_)
            | Input::BroadcastOutcome { .. }
            | Input::Barrier(_)
            | Input::ShutdownRequested => None,
        }
    }

    fn apply(&mut self, message: Message, pending: &mut PendingReplies) {
        match message {
            Message::SubmitAnswered { number, response } => {
                if let Some(client) = pending.responses.remove(&number) {
                    let _ = client.try_send(response);
                }
            }
            Message::AdminReplied { number, reply } => {
                if let Some(operator) = pending.admin_replies.remove(&number) {
                    let _ = operator.try_send(reply);
                }
            }
            Message::CancelUnsent(target) => {
                let _ = self.targets.send(&target, TargetCommand::CancelUnsent);
            }
            _ => (),
        }
    }
}
