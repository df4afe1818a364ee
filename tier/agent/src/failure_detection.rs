//! Exchanges probe datagrams with peers on the agents' port and reports failed peers to a
//! controller. This module does the I/O; [`FailureDetector`] makes the decisions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use plankhill_membership::datagram::Datagram;
use plankhill_membership::failure_detector::{Action, FailureDetector};
use plankhill_membership::indirect_probes::Requester;
use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::subscription::Subscription;
use plankhill_protocol::tables::{Edge, Tables};
use tokio::net::UdpSocket;

/// Maximum size of a datagram in bytes; sufficient for a sequence number and a machine's name.
const MAX_DATAGRAM_BYTES: usize = 512;
/// Interval between ticks while there are no peers; a change of the tables ends the wait early.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(60);
/// Delay after a receive error of the socket.
const RECEIVE_ERROR_BACKOFF: Duration = Duration::from_millis(50);

/// Probes the peers of the machine `own_node` over `socket` until the subscription ends.
pub async fn detect_failures(socket: UdpSocket, own_node: NodeId, subscription: Rc<Subscription>) {
    let mut tables = subscription.tables();
    let detector = FailureDetector::new(own_node.clone(), Instant::now());
    let mut detection = FailureDetection {
        socket,
        own_node,
        subscription,
        detector,
        tables: Arc::default(),
    };
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
    loop {
        let next_tick = detection.next_tick();
        tokio::select! {
            received = detection.socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => detection.on_datagram(&buffer[..length], sender),
                Err(error) => {
                    tracing::debug!(%error, "datagram not received");
                    tokio::time::sleep(RECEIVE_ERROR_BACKOFF).await;
                }
            },
            changed = tables.changed() => {
                if changed.is_err() {
                    return;
                }
                let newest = tables.borrow_and_update().clone();
                detection.set_tables(newest);
            }
            () = tokio::time::sleep_until(next_tick.into()) => detection.tick(),
        }
    }
}

struct FailureDetection {
    socket: UdpSocket,
    own_node: NodeId,
    subscription: Rc<Subscription>,
    detector: FailureDetector,
    /// The tables whose edges are the members of the detector.
    tables: Arc<Tables>,
}

impl FailureDetection {
    fn next_tick(&self) -> Instant {
        match self.detector.next_tick() {
            Some(due) => due,
            None => Instant::now() + IDLE_TICK_INTERVAL,
        }
    }

    fn set_tables(&mut self, newest: Arc<Tables>) {
        if newest.edges != self.tables.edges {
            let members = newest.edges.iter().map(|edge| &edge.node);
            self.detector.set_members(members);
        }
        self.tables = newest;
    }

    fn tick(&mut self) {
        for action in self.detector.tick(Instant::now()) {
            self.perform(action);
        }
    }

    /// Handles a datagram. Datagrams that cannot be decoded, or whose sender is not a registered
    /// edge, are ignored.
    fn on_datagram(&mut self, bytes: &[u8], sender: SocketAddr) {
        let mut edges = self.tables.edges.iter();
        let Some(sender) = edges.find(|edge| edge.address == sender) else {
            return;
        };
        let sender = sender.node.clone();
        let Ok(datagram) = postcard::from_bytes(bytes) else {
            return;
        };
        let now = Instant::now();
        let action = match datagram {
            Datagram::Probe { sequence, to } if to == self.own_node => Some(Action::Ack {
                to: sender,
                sequence,
            }),
            Datagram::Probe { .. } => None,
            Datagram::ProbeRequest { sequence, about } => {
                let requester = Requester {
                    node: sender,
                    sequence,
                };
                self.detector.on_probe_request(requester, about, now)
            }
            Datagram::Ack { sequence } => self.detector.on_ack(sequence, now),
        };
        if let Some(action) = action {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Probe { to, sequence } => {
                let node = to.clone();
                self.send(&node, &Datagram::Probe { sequence, to });
            }
            Action::RequestProbe {
                via,
                about,
                sequence,
            } => self.send(&via, &Datagram::ProbeRequest { sequence, about }),
            Action::Ack { to, sequence } => self.send(&to, &Datagram::Ack { sequence }),
            Action::Suspect(node) => self.report(node),
        }
    }

    /// Reports a failed peer once, and only if a controller is connected, since a late report would
    /// be useless.
    fn report(&self, node: NodeId) {
        tracing::info!(%node, "peer suspected: no answer to probes");
        if self.subscription.status().borrow().address.is_some() {
            self.subscription.send(FromSubscriber::SuspectPeer(node));
        }
    }

    /// Sends a datagram without waiting. A datagram that cannot be sent immediately is dropped,
    /// like one lost on the network.
    fn send(&self, to: &NodeId, datagram: &Datagram) {
        let Some(address) = self.address_of(to) else {
            return;
        };
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
        if let Ok(bytes) = postcard::to_slice(datagram, &mut buffer) {
            let _ = self.socket.try_send_to(bytes, address);
        }
    }

    fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        let edges: &[Edge] = &self.tables.edges;
        let index = edges.binary_search_by(|edge| edge.node.cmp(node)).ok()?;
        Some(edges[index].address)
    }
}
