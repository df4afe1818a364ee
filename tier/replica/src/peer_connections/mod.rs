//! Connections to other members. Each member sends over connections that it opened itself and
//! receives over connections that it accepted, so that a one-way network fault affects one direction
//! only.

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

/// The connections that this member opened, by the listen address of the other member.
pub(crate) struct PeerConnections {
    local_identity: Identity,
    outgoing: BTreeMap<SocketAddr, OutgoingConnection>,
}

impl PeerConnections {
    /// Creates an empty set of connections.
    pub(crate) fn new(local_identity: Identity) -> Self {
        Self {
            local_identity,
            outgoing: BTreeMap::new(),
        }
    }

    /// Queues a message and opens the connection if there is none yet.
    pub(crate) fn send(&mut self, to: SocketAddr, message: Message) {
        let local_identity = &self.local_identity;
        let connection = self
            .outgoing
            .entry(to)
            .or_insert_with(|| OutgoingConnection::open(to, local_identity.clone()));
        connection.send(message);
    }

    /// Ends the reconnect backoff for this address. Called when a heartbeat of the member that
    /// listens there was received.
    pub(crate) fn retry_now(&self, address: SocketAddr) {
        if let Some(connection) = self.outgoing.get(&address) {
            connection.retry_now();
        }
    }

    /// Closes the connections to all addresses that are not in `contacts`.
    pub(crate) fn retain(&mut self, contacts: &BTreeSet<SocketAddr>) {
        self.outgoing
            .retain(|address, _| contacts.contains(address));
    }
}
