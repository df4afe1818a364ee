//! Monitors peers by datagrams on the agents' port, and answers theirs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use plankhill_membership::monitor::{Action, Monitor};
use plankhill_membership::probe::Datagram;
use plankhill_membership::relays::Asker;
use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::ids::NodeId;
use plankhill_protocol::subscription::Subscription;
use plankhill_protocol::tables::{Edge, Tables};
use tokio::net::UdpSocket;

/// Room for one datagram: a sequence number and a machine's name.
const LARGEST_DATAGRAM: usize = 512;
/// Wait while there is nobody to monitor; a change of the tables ends it early.
const NOBODY: Duration = Duration::from_secs(60);
/// Pause after the socket reported an error.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Runs until the subscription ends.
pub async fn monitor_peers(socket: UdpSocket, me: NodeId, subscription: Rc<Subscription>) {
    let mut tables = subscription.tables();
    let monitor = Monitor::new(me.clone(), Instant::now());
    let mut peers = Peers {
        socket,
        me,
        subscription,
        monitor,
        tables: Arc::default(),
    };
    let mut buffer = [0_u8; LARGEST_DATAGRAM];
    loop {
        let tick = peers
            .monitor
            .next_tick()
            .unwrap_or_else(|| Instant::now() + NOBODY);
        tokio::select! {
            received = peers.socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => peers.take(&buffer[..length], from),
                Err(error) => {
                    tracing::debug!(%error, "datagram not received");
                    tokio::time::sleep(ERROR_PAUSE).await;
                }
            },
            changed = tables.changed() => {
                if changed.is_err() {
                    return;
                }
                let newest = tables.borrow_and_update().clone();
                peers.set_tables(newest);
            }
            () = tokio::time::sleep_until(tick.into()) => peers.tick(),
        }
    }
}

struct Peers {
    socket: UdpSocket,
    me: NodeId,
    subscription: Rc<Subscription>,
    monitor: Monitor,
    tables: Arc<Tables>,
}

impl Peers {
    fn set_tables(&mut self, newest: Arc<Tables>) {
        if newest.edges != self.tables.edges {
            self.monitor
                .set_members(newest.edges.iter().map(|edge| &edge.node));
        }
        self.tables = newest;
    }

    fn tick(&mut self) {
        let actions = self.monitor.tick(Instant::now());
        actions.into_iter().for_each(|action| self.act(action));
    }

    /// Acts on a datagram; those of strangers, and those that cannot be read, are ignored.
    fn take(&mut self, bytes: &[u8], from: SocketAddr) {
        let Some(sender) = self.tables.edges.iter().find(|edge| edge.address == from) else {
            return;
        };
        let Ok(datagram) = postcard::from_bytes(bytes) else {
            return;
        };
        let now = Instant::now();
        let action = match datagram {
            Datagram::Probe { sequence, to } if to == self.me => Some(Action::Alive {
                to: sender.node.clone(),
                sequence,
            }),
            Datagram::Probe { .. } => None,
            Datagram::Relay { sequence, about } => {
                let asker = Asker {
                    node: sender.node.clone(),
                    sequence,
                };
                self.monitor.relay(asker, about, now)
            }
            Datagram::Alive { sequence } => self.monitor.answered(sequence, now),
        };
        if let Some(action) = action {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Probe { to, sequence } => {
                self.send(&to.clone(), &Datagram::Probe { sequence, to })
            }
            Action::Relay {
                via,
                about,
                sequence,
            } => self.send(&via, &Datagram::Relay { sequence, about }),
            Action::Alive { to, sequence } => self.send(&to, &Datagram::Alive { sequence }),
            Action::Suspect(node) => self.report(node),
        }
    }

    /// One report, if a controller is connected: an old one is of no use.
    fn report(&self, node: NodeId) {
        tracing::info!(%node, "peer does not answer");
        if self.subscription.status().borrow().address.is_some() {
            self.subscription.send(FromSubscriber::SuspectPeer(node));
        }
    }

    /// A datagram that cannot be sent now counts as lost.
    fn send(&self, to: &NodeId, datagram: &Datagram) {
        let Some(address) = self.address(to) else {
            return;
        };
        let mut buffer = [0_u8; LARGEST_DATAGRAM];
        if let Ok(bytes) = postcard::to_slice(datagram, &mut buffer) {
            let _ = self.socket.try_send_to(bytes, address);
        }
    }

    fn address(&self, node: &NodeId) -> Option<SocketAddr> {
        let edges: &[Edge] = &self.tables.edges;
        let at = edges.binary_search_by(|edge| edge.node.cmp(node)).ok()?;
        Some(edges[at].address)
    }
}
