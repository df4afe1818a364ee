//! A link: forwards the bytes of its connections, and injects faults.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;

/// Maximum number of bytes read and forwarded in one step.
const CHUNK_BYTES: usize = 64 * 1024;
/// Timeout of connecting to the destination.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The two directions of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client that opened the connection to the destination.
    Forward = 0,
    /// From the destination to the client that opened the connection.
    Back = 1,
}

/// How one direction of a link delivers bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Bytes are forwarded at once.
    Immediate,
    /// Each chunk is forwarded after this delay.
    Delayed(Duration),
    /// Connections stay open but nothing is forwarded; pending bytes are forwarded once the link is
    /// healed, as on a network that lost packets for some time. New connections are accepted and stall
    /// as well.
    Stalled,
}

struct State {
    deliveries: [Delivery; 2],
    /// Whether new connections are reset.
    refuses_connections: bool,
    /// For each direction: the number of bytes of the next chunk to forward, and the fault that
    /// follows them.
    truncations: [Option<(usize, TruncationFault)>; 2],
    is_closed: bool,
    open: Vec<[Weak<TcpStream>; 2]>,
}

#[derive(Clone, Copy)]
enum TruncationFault {
    Reset,
    Stalled,
}

/// A network link with fault injection.
pub struct Link {
    to: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Link {
    /// Creates a link to the address `to`, without faults.
    pub(crate) fn new(to: SocketAddr) -> Self {
        let state = State {
            deliveries: [Delivery::Immediate; 2],
            refuses_connections: false,
            truncations: [None; 2],
            is_closed: false,
            open: Vec::new(),
        };
        Self {
            to,
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.changed.notify_all();
    }

    /// Sets how one direction delivers bytes from now on.
    pub fn set_delivery(&self, direction: Direction, delivery: Delivery) {
        self.change(|state| state.deliveries[direction as usize] = delivery);
    }

    /// Stalls both directions; connections stay open.
    pub fn stall(&self) {
        self.change(|state| state.deliveries = [Delivery::Stalled; 2]);
    }

    /// Delays each chunk in both directions.
    pub fn delay(&self, by: Duration) {
        self.change(|state| state.deliveries = [Delivery::Delayed(by); 2]);
    }

    /// Resets the open connections and every new one.
    pub fn reset_and_refuse(&self) {
        self.change(|state| state.refuses_connections = true);
        self.reset();
    }

    /// Resets the open connections; new ones are not affected.
    pub fn reset(&self) {
        self.change(|state| {
            let open = state.open.drain(..).flatten();
            for stream in open.filter_map(|stream| stream.upgrade()) {
                reset(&stream);
            }
        });
    }

    /// Truncates the next chunk in `direction` after `after` bytes and resets its connection.
    pub fn truncate_next(&self, direction: Direction, after: usize) {
        let truncation = Some((after, TruncationFault::Reset));
        self.change(|state| state.truncations[direction as usize] = truncation);
    }

    /// Stalls `direction` after `after` bytes of the next chunk; the remaining bytes are forwarded once
    /// the link is healed.
    pub fn stall_after(&self, direction: Direction, after: usize) {
        let truncation = Some((after, TruncationFault::Stalled));
        self.change(|state| state.truncations[direction as usize] = truncation);
    }

    /// Whether at least one direction is stalled.
    pub fn is_stalled(&self) -> bool {
        self.state().deliveries.contains(&Delivery::Stalled)
    }

    /// Removes all faults.
    pub fn heal(&self) {
        self.change(|state| {
            state.deliveries = [Delivery::Immediate; 2];
            state.refuses_connections = false;
            state.truncations = [None; 2];
        });
    }

    /// Closes the link: resets its connections and refuses new ones.
    pub(crate) fn close(&self) {
        self.change(|state| {
            state.is_closed = true;
            state.refuses_connections = true;
        });
        self.reset();
    }

    /// Waits while `direction` is stalled, then for the delay if there is one. Returns `false` if the
    /// link is closed.
    fn wait_until_passing(&self, direction: Direction) -> bool {
        let is_stalled = |state: &mut State| {
            state.deliveries[direction as usize] == Delivery::Stalled && !state.is_closed
        };
        let state = self
            .changed
            .wait_while(self.state(), is_stalled)
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let delivery = state.deliveries[direction as usize];
        let is_closed = state.is_closed;
        drop(state);
        if let Delivery::Delayed(by) = delivery {
            thread::sleep(by);
        }
        !is_closed
    }

    /// Forwards one connection until it closes.
    pub(crate) fn forward(self: Arc<Self>, client: TcpStream) {
        if self.state().refuses_connections {
            return reset(&client);
        }
        // A TCP handshake completes only if packets pass in both directions.
        if !self.wait_until_passing(Direction::Forward) || !self.wait_until_passing(Direction::Back)
        {
            return;
        }
        let Ok(destination) = TcpStream::connect_timeout(&self.to, CONNECT_TIMEOUT) else {
            return reset(&client);
        };
        let _ = destination.set_nodelay(true);
        let client = Arc::new(client);
        let destination = Arc::new(destination);
        if !self.track(&client, &destination) {
            reset(&client);
            return reset(&destination);
        }
        let link = Arc::clone(&self);
        let back_streams = [Arc::clone(&destination), Arc::clone(&client)];
        let back =
            thread::spawn(move || link.pump(Direction::Back, &back_streams[0], &back_streams[1]));
        self.pump(Direction::Forward, &client, &destination);
        let _ = back.join();
    }

    /// Adds a connection to the open ones; returns `false` if connections are refused.
    fn track(&self, client: &Arc<TcpStream>, destination: &Arc<TcpStream>) -> bool {
        let mut state = self.state();
        if state.refuses_connections {
            return false;
        }
        state.open.retain(|[client, _]| client.strong_count() > 0);
        state
            .open
            .push([Arc::downgrade(client), Arc::downgrade(destination)]);
        true
    }

    fn pump(&self, direction: Direction, mut from: &TcpStream, mut to: &TcpStream) {
        let mut bytes = vec![0; CHUNK_BYTES];
        loop {
            let read = from.read(&mut bytes);
            if !self.wait_until_passing(direction) {
                return;
            }
            let chunk = match read {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(read) => &bytes[..read],
                Err(_) => return reset(to),
            };
            let truncation = self.state().truncations[direction as usize].take();
            let truncated_len = truncation.map_or(0, |(after, _)| after.min(chunk.len()));
            let (first, rest) = chunk.split_at(truncated_len);
            if to.write_all(first).is_err() {
                return reset(from);
            }
            match truncation {
                Some((_, TruncationFault::Reset)) => {
                    reset(from);
                    return reset(to);
                }
                Some((_, TruncationFault::Stalled)) => {
                    self.set_delivery(direction, Delivery::Stalled);
                    if !self.wait_until_passing(direction) {
                        return;
                    }
                }
                None => {}
            }
            if to.write_all(rest).is_err() {
                return reset(from);
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
    let _ = stream.shutdown(Shutdown::Both);
}
