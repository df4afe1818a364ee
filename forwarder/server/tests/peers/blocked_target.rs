//! A target whose next connection is established when the test allows it.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::TIMEOUT;

/// A listener with a backlog of one connection, which is filled: the next SYN gets no answer, and
/// the kernel of the connecting side repeats it, the first time after a second, also while the
/// connecting process is suspended.
pub struct BlockedTarget {
    pub listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl BlockedTarget {
    pub fn new() -> Self {
        BlockedTarget {
            listener: TcpListener::bind("127.0.0.1:0").expect("a port"),
            fillers: Vec::new(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Fills the backlog: no connection is established from now on.
    pub fn fill_backlog(&mut self) {
        rustix::net::listen(&self.listener, 0).expect("listens");
        while let Ok(filler) =
            TcpStream::connect_timeout(&self.address(), Duration::from_millis(200))
        {
            self.fillers.push(filler);
        }
    }

    /// Whether a connect to the target is pending (`SYN_SENT`).
    pub fn has_pending_connect(&self) -> bool {
        let to = format!(":{:04X} 02 ", self.address().port());
        std::fs::read_to_string("/proc/net/tcp")
            .expect("Linux")
            .contains(&to)
    }

    /// Returns once a connect to the target is pending.
    pub fn wait_for_dial(&self) {
        let by = Instant::now() + TIMEOUT;
        while !self.has_pending_connect() {
            assert!(Instant::now() < by, "no connect is pending");
            thread::yield_now();
        }
    }

    /// Restores the backlog; returns the first connection that is not one of the fillers.
    pub fn accept_dial(&mut self) -> TcpStream {
        let own: Vec<_> = self
            .fillers
            .iter()
            .map(|it| it.local_addr().expect("bound"))
            .collect();
        rustix::net::listen(&self.listener, 128).expect("listens");
        loop {
            let (stream, from) = self.listener.accept().expect("connection is established");
            if !own.contains(&from) {
                return stream;
            }
        }
    }
}

/// Returns once a socket on this machine, whose process is suspended, holds unread bytes from that
/// address.
pub fn wait_for_unread_bytes(from: SocketAddr) {
    let from = format!(":{:04X}", from.port());
    let is_unread = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 4 && fields[2].ends_with(&from) && !fields[4].ends_with(":00000000")
    };
    let by = Instant::now() + TIMEOUT;
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("Linux")
        .lines()
        .any(is_unread)
    {
        assert!(Instant::now() < by, "no bytes arrive");
        thread::yield_now();
    }
}

/// Reads until the other side closes the connection, an error or the time-out; returns the text.
pub fn read_until_closed(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(TIMEOUT)).expect("a socket");
    let (mut received, mut piece) = (Vec::new(), [0; 4096]);
    while let Ok(read @ 1..) = stream.read(&mut piece) {
        received.extend_from_slice(&piece[..read]);
    }
    String::from_utf8_lossy(&received).into_owned()
}
