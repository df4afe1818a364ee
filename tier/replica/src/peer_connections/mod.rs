//! Connections to other members. Each member sends over connections that it opened itself and
//! receives over those that it accepted, so that a network fault in one direction stops one
//! direction only.

mod incoming;
mod introduction;
mod outgoing;

#[cfg(test)]
mod wire_format_tests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use plankhill_chain::{Identity, Message};

pub(crate) use incoming::{receive_from, Received};

use outgoing::OutgoingConnection;

/// The connections that this member opened, by the address at which the other member listens.
pub(crate) struct PeerConnections {
    me: Identity,
    outgoing: BTreeMap<SocketAddr, OutgoingConnection>,
}

impl PeerConnections {
    /// No connection is open yet.
    pub(crate) fn new(me: Identity) -> Self {
        Self {
            me,
            outgoing: BTreeMap::new(),
        }
    }

    /// Queues a message; the connection comes up when it is needed.
    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        let me = &self.me;
        let connection = self
            .outgoing
            .entry(to)
            .or_insert_with(|| OutgoingConnection::open(to, me.clone()));
        connection.send(message);
    }

    /// A heartbeat of the member that listens there has come: a connection that waits for its
    /// backoff is tried at once.
    pub(crate) fn retry_now(&self, address: SocketAddr) {
        if let Some(connection) = self.outgoing.get(&address) {
            connection.retry_now();
        }
    }

    /// Closes the connections to everyone else.
    pub(crate) fn retain(&mut self, contacts: &BTreeSet<SocketAddr>) {
        self.outgoing
            .retain(|address, _| contacts.contains(address));
    }
}
