//! One subscription, from its first message to its end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use plankhill_control::Operation;
use plankhill_protocol::feed::{FromSubscriber, Subscriber, ToSubscriber};
use plankhill_protocol::ids::{Incarnation, Revision};
use plankhill_protocol::tables::TablesUpdate;
use plankhill_protocol::transport::{Connection, FrameReader, FrameWriter, TransportError};
use tokio::time::timeout;

use super::registration::{life_of, other_lives, registration_of, should_register};
use crate::liveness::MachineLife;
use crate::log::ControlLog;
use crate::process::Controller;

/// Time between heartbeats; subscribers leave a controller after 0.7 s of silence.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// A subscriber that sends no first message in this time is dropped.
const FIRST_MESSAGE: Duration = Duration::from_secs(2);
/// A subscriber that takes nothing for this long is dropped; it comes back with the revision that it holds.
const WRITE_LIMIT: Duration = Duration::from_millis(1_500);
/// A subscriber that says nothing for this long is not heard any more: it answers every heartbeat.
const READ_LIMIT: Duration = Duration::from_millis(3_000);
/// Time for one registration to be committed; tried again while the connection lasts.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(1_000);

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
    let first = timeout(FIRST_MESSAGE, reader.next()).await;
    let Ok(Ok(FromSubscriber::Subscribe {
        subscriber,
        held_revision: held,
    })) = first
    else {
        return;
    };
    let Some(key) = controller
        .subscribers
        .borrow_mut()
        .add(peer.node.clone(), held)
    else {
        return;
    };
    let life = life_of(&subscriber);
    let former = other_lives(&controller.log.state().borrow().state, &subscriber);
    tracing::info!(node = %peer.node, %address, held = held.0, "subscribed");
    let session = Session {
        controller: controller.clone(),
        writer,
        subscriber,
        life,
        key,
        held,
        wants_updates: true,
        wants_snapshot: false,
        told: Vec::new(),
        beat: Instant::now(),
        heard: Instant::now(),
        registering: None,
        former,
    };
    let reason = session.run(reader).await;
    tracing::info!(node = %peer.node, reason, "subscription ended");
    controller.subscribers.borrow_mut().remove(key);
}

struct Session<L: ControlLog> {
    controller: Rc<Controller<L>>,
    writer: FrameWriter,
    subscriber: Subscriber,
    life: Option<MachineLife>,
    key: u64,
    /// The revision that the subscriber holds once it has taken all that was sent.
    held: Revision,
    /// Whether it takes updates from here; otherwise it is only told that the revision rose.
    wants_updates: bool,
    /// Whether it asked for a snapshot: changes do not fit what it holds.
    wants_snapshot: bool,
    /// The controllers' addresses that it was told.
    told: Vec<SocketAddr>,
    /// When the next heartbeat is due.
    beat: Instant,
    /// When it was heard last.
    heard: Instant,
    registering: Option<tokio::task::JoinHandle<bool>>,
    /// Other lives of the machine that were known when it subscribed.
    former: Vec<Incarnation>,
}

impl<L: ControlLog> Session<L> {
    async fn run(mut self, reader: FrameReader) -> &'static str {
        let mut newest = self.controller.newest.subscribe();
        let mut current = self.controller.log.current_changes();
        let mut reading = Box::pin(receive(reader));
        self.hear();
        loop {
            newest.borrow_and_update();
            self.register();
            if !self.send_due().await {
                return "connection broke";
            }
            if self.heard.elapsed() > READ_LIMIT {
                return "silent";
            }
            tokio::select! {
                (reader, message) = &mut reading => {
                    let Ok(message) = message else { return "connection closed" };
                    self.hear();
                    if self.take(message) {
                        return "left";
                    }
                    reading = Box::pin(receive(reader));
                }
                changed = newest.changed() => {
                    if changed.is_err() {
                        return "this controller ends";
                    }
                }
                // Subscribers that wait for a controller that is current are told at once.
                Ok(()) = current.changed() => self.beat = Instant::now(),
                () = tokio::time::sleep_until(self.beat.into()) => {}
            }
        }
    }

    fn hear(&mut self) {
        self.heard = Instant::now();
        if let Some(life) = &self.life {
            self.controller
                .liveness
                .borrow_mut()
                .heard_machine(life, self.heard);
        }
    }

    /// Acts on a message; true if it ends the subscription.
    fn take(&mut self, message: FromSubscriber) -> bool {
        match message {
            FromSubscriber::Applied(revision) => {
                self.controller
                    .subscribers
                    .borrow_mut()
                    .applied(self.key, revision);
            }
            FromSubscriber::RequestSnapshot => self.wants_snapshot = true,
            FromSubscriber::StoreSynced(epoch) => {
                if let Some(MachineLife { node, incarnation }) = self.life.clone() {
                    self.controller.submit(Operation::StoreSynced {
                        node,
                        incarnation,
                        epoch,
                    });
                }
            }
            FromSubscriber::SuspectPeer(node) => tracing::info!(%node, "suspected by a peer"),
            FromSubscriber::Deregister => {
                if let (Subscriber::Edge(_), Some(life)) = (&self.subscriber, self.life.clone()) {
                    let MachineLife { node, incarnation } = life;
                    self.controller
                        .submit(Operation::RemoveEdge { node, incarnation });
                }
                return true;
            }
            FromSubscriber::Drained { number } => {
                if let (Subscriber::Edge(edge), Some(_)) = (&self.subscriber, &self.life) {
                    let node = edge.node.clone();
                    self.controller
                        .submit(Operation::EdgeEmptied { node, number });
                }
            }
            FromSubscriber::HeartbeatsOnly => self.wants_updates = false,
            FromSubscriber::ResumeUpdates {
                held_revision: held,
            } => (self.wants_updates, self.held) = (true, held),
            // Only the first message of a connection may be one.
            FromSubscriber::Subscribe { .. } => return true,
        }
        false
    }

    /// Sends what the subscriber lacks and, after an update or when one is due, a heartbeat. Updates wait until this
    /// controller is current: before that they may be old, and when all machines come back together the snapshots of all
    /// subscribers would hold up what the controllers have to say to each other.
    async fn send_due(&mut self) -> bool {
        let mut messages = Vec::new();
        let current = self.controller.log.is_current();
        let update = if current { self.next_update() } else { None };
        let now = Instant::now();
        if let Some(update) = update {
            self.held = end_of(&update);
            self.beat = now;
            messages.extend(self.wants_updates.then_some(ToSubscriber::Update(update)));
        }
        if now >= self.beat {
            messages.push(ToSubscriber::Heartbeat {
                revision: self.held_or_newest(),
                current,
            });
            self.tell_controllers(&mut messages);
            self.beat = now + HEARTBEAT;
        }
        if messages.is_empty() {
            return true;
        }
        matches!(
            timeout(WRITE_LIMIT, self.writer.send_all(&messages)).await,
            Ok(Ok(()))
        )
    }

    fn next_update(&mut self) -> Option<TablesUpdate> {
        let changes = self.controller.changes.borrow();
        if std::mem::take(&mut self.wants_snapshot) {
            return Some(changes.snapshot());
        }
        changes.update_since(self.held)
    }

    /// A subscriber may hold more than is known here; it must see that this controller is behind.
    fn held_or_newest(&self) -> Revision {
        self.held
            .min(self.controller.changes.borrow().newest().revision)
    }

    fn tell_controllers(&mut self, messages: &mut Vec<ToSubscriber>) {
        let addresses = self.controller.controller_addresses();
        if !addresses.is_empty() && addresses != self.told {
            self.told.clone_from(&addresses);
            messages.push(ToSubscriber::Controllers(addresses));
        }
    }

    /// Registers the machine in the control state, again if it was forgotten there.
    fn register(&mut self) {
        if self
            .registering
            .as_ref()
            .is_some_and(|task| !task.is_finished())
        {
            return;
        }
        let state = self.controller.log.state().borrow().state.clone();
        if !should_register(&state, &self.subscriber, &self.former) {
            return;
        }
        let faults = self.controller.faults;
        let Some(operation) = registration_of(&self.subscriber, faults) else {
            return;
        };
        let log = self.controller.log.clone();
        self.registering = Some(tokio::task::spawn_local(async move {
            log.propose(operation, REGISTRATION_TIMEOUT).await.is_ok()
        }));
    }
}

impl<L: ControlLog> Drop for Session<L> {
    fn drop(&mut self) {
        if let Some(task) = &self.registering {
            task.abort();
        }
    }
}

fn end_of(update: &TablesUpdate) -> Revision {
    match update {
        TablesUpdate::Snapshot(tables) => tables.revision,
        TablesUpdate::Changes { to, .. } => *to,
    }
}

/// One message; the reader comes back with it, so that waiting can go on over several turns of a loop.
async fn receive(mut reader: FrameReader) -> (FrameReader, Result<FromSubscriber, TransportError>) {
    let message = reader.next().await;
    (reader, message)
}
