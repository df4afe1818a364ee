//! Connections of clients, those that are accepted and those that a predecessor process transfers.
//!
//! Each has a task ([`connection`]) that reads requests ([`read_request`], [`request`]), submits events to the event
//! loop and responds ([`respond`]). [`waiting`] says which connections make room for others.

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
use crate::stream::{is_quiet, Stream};
use crate::targets::max_idle_connections;

/// Descriptors for discovery, the event log, the process's log and the reactor.
const RESERVED_DESCRIPTORS: usize = 24;
/// Between tries while connections cannot be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Between looks whether the last client has its response.
const SERVED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns once no client is connected. A client that is half-way through a request is owed its response, or is told
/// that the request took too long. So is one that waits in the kernel's queue: shutdown may be due in the same turn in
/// which it connects.
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

    /// Connections that are served at most: the descriptors that targets, discovery, files, operators and the
    /// predecessor process do not need.
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
        // The last eighth is told that the server is full.
        connections.set_soft_limit(max - max / 8);
        let over_limit = !connections.make_room();
        let mut counted = connections.try_count(max);
        // Some that were to make room go on with what just arrived, but once only.
        while counted.is_none() && connections.make_room() {
            future::yield_now().await;
            counted = connections.try_count(max);
        }
        let Some(counted) = counted else {
            // All of them are being served.
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
        // Those that made room end now, and what was accepted is read before more is.
        future::yield_now().await;
    }

    /// Serves a connection on which the predecessor process waited for the next request, for `time_left` more.
    pub fn take_over(&self, stream: Stream, requests_served: u64, time_left: Duration) {
        let reason = match requests_served {
            0 => WaitReason::FirstRequest,
            1 => WaitReason::SecondRequest,
            _ => WaitReason::NextRequest,
        };
        match self.connections.try_count(self.max_connections()) {
            Some(counted) => self.serve(stream, false, counted, reason, time_left),
            // An idle connection may be closed, but its request may lie in it.
            None if !is_quiet(&stream) => reject(&stream),
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
    let _ = http1::response(&mut response, 503, &fields, 0);
    lingering_close::reject(stream, &response);
}
