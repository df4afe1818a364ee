//! Connections of clients, both accepted ones and those that a predecessor process transfers.
//!
//! Each connection has a task ([`connection`]) that reads requests ([`read_request`], [`request`]),
//! submits events to the event loop and responds ([`respond`]). [`waiting`] decides which
//! connections are evicted to make room for others.

mod broadcast;
mod connection;
mod read_request;
mod rejection_log;
mod request;
mod respond;
#[cfg(test)]
mod tests;
mod waiting;

use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{future, StreamExt};
use plankhill_http1 as http1;
use slog::warn;

use self::connection::{ClientConnection, READ_TIMEOUT};
use self::waiting::{ConnectionTable, WaitReason};
use crate::admin_listener::MAX_ADMIN_CONNECTIONS;
use crate::context::ServerContext;
use crate::count_guard::CountGuard;
use crate::lingering_close;
use crate::messages::Input;
use crate::stall_guard;
use crate::stream::{is_open_without_data, Stream};
use crate::targets::max_idle_connections;

/// File descriptors reserved for discovery, the event log, the process's log and the reactor.
const RESERVED_DESCRIPTORS: usize = 24;
/// Delay before the next accept after a failed one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Polling interval of [`wait_until_served`].
const SERVED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns once no client is connected. A client that has sent part of a request receives its
/// response, or an error that the request took too long. The same applies to a client in the
/// kernel's accept queue: shutdown may be due in the same turn of the executor in which the client
/// connects.
pub async fn wait_until_served(context: &ServerContext) {
    loop {
        while context.open_clients.get() > 0 {
            Timer::after(SERVED_POLL_INTERVAL).await;
        }
        stall_guard::poll_all_sockets().await;
        if context.open_clients.get() == 0 {
            return;
        }
    }
}

/// Accepts connections and serves them; clones share the connections.
#[derive(Clone)]
pub struct Clients {
    context: ServerContext,
    to_event_loop: Sender<Input>,
    connections: Rc<ConnectionTable>,
}

impl Clients {
    pub fn new(context: ServerContext, to_event_loop: Sender<Input>) -> Self {
        let connections = Rc::new(ConnectionTable::new(context.open_clients.clone()));
        Clients {
            context,
            to_event_loop,
            connections,
        }
    }

    /// Maximum number of connections that are served: the descriptors that are not needed for
    /// targets, discovery, files, operators and the predecessor process.
    fn max_connections(&self) -> usize {
        let config = &self.context.config;
        let admin = config
            .admin_address
            .map_or(0, |_| MAX_ADMIN_CONNECTIONS + 1);
        let others = max_idle_connections(config)
            + config.decisions.max_calls_in_flight
            + RESERVED_DESCRIPTORS
            + admin
            + self.context.predecessor_descriptors.get();
        config.max_sockets.saturating_sub(others).max(1)
    }

    /// Accepts connections until the task is dropped.
    pub async fn listen(self, listener: Async<TcpListener>) {
        let mut incoming = Box::pin(listener.incoming());
        while let Some(accepted) = incoming.next().await {
            match accepted {
                Ok(stream) => self.admit(stream).await,
                Err(error) => {
                    warn!(self.context.log, "client connection cannot be accepted";
                        "error" => %error);
                    Timer::after(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn admit(&self, stream: Stream) {
        let _ = stream.get_ref().set_nodelay(true);
        let connections = &self.connections;
        let max = self.max_connections();
        // Events on connections in the last eighth of the limit are rejected because the server is
        // full.
        connections.set_soft_limit(max - max / 8);
        let over_limit = !connections.evict_excess();
        let mut counted = connections.try_count(max);
        // An evicted connection may continue with bytes that have just arrived, but only once.
        while counted.is_none() && connections.evict_excess() {
            future::yield_now().await;
            counted = connections.try_count(max);
        }
        let Some(counted) = counted else {
            // No connection is waiting: all of them are being served.
            reject(&stream);
            return;
        };
        self.serve(
            stream,
            over_limit,
            counted,
            WaitReason::FirstRequest,
            READ_TIMEOUT,
        );
        // Evicted connections close now, and the accepted connection is read before the next is
        // accepted.
        future::yield_now().await;
    }

    /// Serves a connection on which the predecessor process was waiting for the next request; the
    /// wait continues for `time_left`.
    pub fn take_over(&self, stream: Stream, requests_served: u64, time_left: Duration) {
        let reason = match requests_served {
            0 => WaitReason::FirstRequest,
            1 => WaitReason::SecondRequest,
            _ => WaitReason::NextRequest,
        };
        match self.connections.try_count(self.max_connections()) {
            Some(counted) => self.serve(stream, false, counted, reason, time_left),
            // An idle connection may be closed without a response, but not if its request has
            // already arrived.
            None if !is_open_without_data(&stream) => reject(&stream),
            None => (),
        }
    }

    fn serve(
        &self,
        stream: Stream,
        over_limit: bool,
        counted: CountGuard,
        reason: WaitReason,
        timeout: Duration,
    ) {
        let connection = ClientConnection::new(
            self.context.clone(),
            self.to_event_loop.clone(),
            self.connections.clone(),
            stream,
            over_limit,
            counted,
        );
        let task = connection.run(reason, Instant::now() + timeout);
        self.context.executor.spawn(task).detach();
    }
}

fn reject(stream: &Stream) {
    let mut response = Vec::with_capacity(128);
    let fields: [(&str, &dyn std::fmt::Display); 2] =
        [("Retry-After", &1), ("Connection", &"close")];
    let _ = http1::write_response(&mut response, 503, &fields, 0);
    lingering_close::reject(stream, &response);
}
