//! The session of one subscriber, from its first message until the connection ends.

use std::fmt;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};

use plankhill_control::Operation;
use plankhill_protocol::feed::{FromSubscriber, Subscriber, ToSubscriber};
use plankhill_protocol::ids::StoreEpoch;
use plankhill_protocol::transport::{Connection, FrameReader, FrameWriter};
use tokio::time::timeout;

use super::registrar::Registrar;
use super::registration::machine_of;
use super::update_stream::UpdateStream;
use crate::control_log::ControlLog;
use crate::controller::Controller;
use crate::liveness::MachineIncarnation;
use crate::subscribers::SubscriberGuard;

/// Interval between heartbeats; subscribers disconnect from a controller after 0.7 s of silence.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout for the first message; the subscriber is disconnected after it.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a write. A subscriber that stops reading is disconnected; it reconnects and sends
/// the revision that it holds.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A subscriber that sends nothing for longer than this is disconnected, since subscribers answer
/// every heartbeat.
const READ_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Serves one subscriber until its connection ends.
pub async fn serve_subscriber<L: ControlLog>(
    controller: Rc<Controller<L>>,
    connection: Connection,
) {
    let Connection {
        peer,
        address,
        mut reader,
        writer,
    } = connection;
    let first = timeout(SUBSCRIBE_TIMEOUT, reader.next()).await;
    let Ok(Ok(FromSubscriber::Subscribe {
        subscriber,
        held_revision,
    })) = first
    else {
        return;
    };
    let Some(guard) = controller
        .subscribers()
        .add(peer.node.clone(), held_revision)
    else {
        return;
    };
    let session = Session {
        machine: machine_of(&subscriber),
        registrar: Registrar::new(&controller, subscriber),
        updates: UpdateStream::new(held_revision),
        announced_controllers: Vec::new(),
        next_heartbeat: Instant::now(),
        last_received: Instant::now(),
        controller,
        writer,
        guard,
    };
    let node = &peer.node;
    tracing::info!(%node, %address, revision = held_revision.0, "subscription started");
    let end = session.run(reader).await;
    tracing::info!(%node, %address, reason = %end, "subscription ended");
}

/// The reason why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionEnd {
    /// The subscriber deregistered, or sent a second [`FromSubscriber::Subscribe`].
    Unsubscribed,
    /// The connection was closed, or a message could not be read.
    ConnectionClosed,
    /// A write failed or timed out.
    WriteFailed,
    /// No message was received within [`READ_TIMEOUT`].
    ReadTimedOut,
    /// The controller process is stopping.
    ControllerStopped,
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SessionEnd::Unsubscribed => "unsubscribed",
            SessionEnd::ConnectionClosed => "connection closed",
            SessionEnd::WriteFailed => "write failed",
            SessionEnd::ReadTimedOut => "read timed out",
            SessionEnd::ControllerStopped => "controller stopped",
        })
    }
}

/// The state of one subscription. The session owns the connection and all resources of the
/// subscription; dropping the session ends the subscription.
struct Session<L: ControlLog> {
    controller: Rc<Controller<L>>,
    writer: FrameWriter,
    registrar: Registrar,
    /// The subscribed machine; `None` for subscribers that are never registered.
    machine: Option<MachineIncarnation>,
    /// Keeps the subscription in the status until the session ends.
    guard: SubscriberGuard,
    updates: UpdateStream,
    /// The controller addresses last sent to the subscriber.
    announced_controllers: Vec<SocketAddr>,
    next_heartbeat: Instant,
    last_received: Instant,
}

impl<L: ControlLog> Session<L> {
    async fn run(mut self, reader: FrameReader) -> SessionEnd {
        let mut newest_revision = self.controller.watch_revision();
        let mut current = self.controller.log().watch_current();
        let mut receiving = Box::pin(reader.into_next());
        self.record_received();
        loop {
            newest_revision.borrow_and_update();
            self.registrar.register_if_missing(&self.controller);
            if let Err(end) = self.send_due().await {
                return end;
            }
            if self.last_received.elapsed() > READ_TIMEOUT {
                return SessionEnd::ReadTimedOut;
            }
            tokio::select! {
                (reader, message) = &mut receiving => {
                    let Ok(message) = message else {
                        return SessionEnd::ConnectionClosed;
                    };
                    self.record_received();
                    if let ControlFlow::Break(end) = self.handle(message) {
                        return end;
                    }
                    receiving = Box::pin(reader.into_next());
                }
                changed = newest_revision.changed() => {
                    if changed.is_err() {
                        return SessionEnd::ControllerStopped;
                    }
                }
                // Notifies subscribers that wait for the controller to become current without
                // delay.
                Ok(()) = current.changed() => self.next_heartbeat = Instant::now(),
                () = tokio::time::sleep_until(self.next_heartbeat.into()) => {}
            }
        }
    }

    fn record_received(&mut self) {
        self.last_received = Instant::now();
        if let Some(machine) = &self.machine {
            self.controller
                .liveness_mut()
                .record_machine(machine, self.last_received);
        }
    }

    fn handle(&mut self, message: FromSubscriber) -> ControlFlow<SessionEnd> {
        match message {
            FromSubscriber::Applied(revision) => self.guard.record_applied(revision),
            FromSubscriber::RequestSnapshot => self.updates.request_snapshot(),
            FromSubscriber::StoreSynced(epoch) => self.propose_synced(epoch),
            FromSubscriber::SuspectPeer(node) => {
                tracing::info!(%node, "peer suspected by an agent");
            }
            FromSubscriber::Drained { number } => self.propose_drained(number),
            FromSubscriber::HeartbeatsOnly => self.updates.pause(),
            FromSubscriber::ResumeUpdates { held_revision } => self.updates.resume(held_revision),
            FromSubscriber::Deregister => {
                self.propose_deregistration();
                return ControlFlow::Break(SessionEnd::Unsubscribed);
            }
            // Only the first message of a connection may be a subscription.
            FromSubscriber::Subscribe { .. } => {
                return ControlFlow::Break(SessionEnd::Unsubscribed);
            }
        }
        ControlFlow::Continue(())
    }

    fn propose_synced(&self, epoch: StoreEpoch) {
        if let Some(MachineIncarnation { node, incarnation }) = self.machine.clone() {
            self.controller.propose_detached(Operation::StoreSynced {
                node,
                incarnation,
                epoch,
            });
        }
    }

    fn propose_drained(&self, number: u64) {
        if let Subscriber::Edge(edge) = self.registrar.subscriber() {
            let node = edge.node.clone();
            self.controller
                .propose_detached(Operation::EdgeDrained { node, number });
        }
    }

    fn propose_deregistration(&self) {
        if let Subscriber::Edge(edge) = self.registrar.subscriber() {
            self.controller.propose_detached(Operation::DeregisterEdge {
                node: edge.node.clone(),
                incarnation: edge.incarnation,
            });
        }
    }

    /// Sends the missing update, if any, followed by a heartbeat. Without an update, sends a
    /// heartbeat if one is due.
    ///
    /// No update is sent until this controller is current. Before that, its state may be stale, and
    /// when all machines restart at the same time, the snapshots for all subscribers would delay
    /// the traffic between the controllers.
    async fn send_due(&mut self) -> Result<(), SessionEnd> {
        let messages = self.due_messages();
        if messages.is_empty() {
            return Ok(());
        }
        match timeout(WRITE_TIMEOUT, self.writer.send_all(&messages)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(SessionEnd::WriteFailed),
        }
    }

    fn due_messages(&mut self) -> Vec<ToSubscriber> {
        let mut messages = Vec::new();
        let current = self.controller.log().is_current();
        let update = if current {
            self.updates.advance(&self.controller.change_log())
        } else {
            None
        };
        let now = Instant::now();
        if let Some(update) = update {
            self.next_heartbeat = now;
            if self.updates.delivers_updates() {
                messages.push(ToSubscriber::Update(update));
            }
        }
        if now >= self.next_heartbeat {
            let revision = self
                .updates
                .announced_revision(&self.controller.change_log());
            messages.push(ToSubscriber::Heartbeat { revision, current });
            messages.extend(self.changed_controllers().map(ToSubscriber::Controllers));
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        }
        messages
    }

    /// Returns the controller addresses if they differ from those last sent.
    fn changed_controllers(&mut self) -> Option<Vec<SocketAddr>> {
        let addresses = self.controller.controller_addresses();
        if addresses.is_empty() || addresses == self.announced_controllers {
            return None;
        }
        self.announced_controllers.clone_from(&addresses);
        Some(addresses)
    }
}
