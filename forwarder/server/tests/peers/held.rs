//! A target whose next connection comes up when the story says so.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::LONG;

/// Listens with room for one connection that waits, which is taken: the next dial gets no answer, and is repeated
/// by the system of who dials, after a second at first, also while its process stands still.
pub struct HeldTarget {
    pub listener: TcpListener,
    fillers: Vec<TcpStream>,
}

impl HeldTarget {
    pub fn new() -> Self {
        HeldTarget {
            listener: TcpListener::bind("127.0.0.1:0").expect("a port"),
            fillers: Vec::new(),
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// No connection comes up from now on.
    pub fn hold(&mut self) {
        rustix::net::listen(&self.listener, 0).expect("listens");
        while let Ok(filler) =
            TcpStream::connect_timeout(&self.address(), Duration::from_millis(200))
        {
            self.fillers.push(filler);
        }
    }

    /// Whether somebody dials in vain.
    pub fn dialled(&self) -> bool {
        let to = format!(":{:04X} 02 ", self.address().port());
        std::fs::read_to_string("/proc/net/tcp")
            .expect("Linux")
            .contains(&to)
    }

    /// Returns once somebody dials in vain.
    pub fn is_dialled(&self) {
        let by = Instant::now() + LONG;
        while !self.dialled() {
            assert!(Instant::now() < by, "nobody dials");
            thread::yield_now();
        }
    }

    /// Connections come up again; returns the first one that is none of ours.
    pub fn release(&mut self) -> TcpStream {
        let ours: Vec<_> = self
            .fillers
            .iter()
            .map(|it| it.local_addr().expect("bound"))
            .collect();
        rustix::net::listen(&self.listener, 128).expect("listens");
        loop {
            let (stream, from) = self.listener.accept().expect("comes up");
            if !ours.contains(&from) {
                return stream;
            }
        }
    }
}

/// Returns once bytes from there lie unread in a socket on this machine, whose process stands still.
pub fn lies_unread(from: SocketAddr) {
    let from = format!(":{:04X}", from.port());
    let lies = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.len() > 4 && fields[2].ends_with(&from) && !fields[4].ends_with(":00000000")
    };
    let by = Instant::now() + LONG;
    while !std::fs::read_to_string("/proc/net/tcp")
        .expect("Linux")
        .lines()
        .any(lies)
    {
        assert!(Instant::now() < by, "nothing comes");
        thread::yield_now();
    }
}

/// All that comes until the other side ends the connection.
pub fn rest(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(LONG)).expect("a socket");
    let (mut all, mut piece) = (Vec::new(), [0; 4096]);
    while let Ok(read @ 1..) = stream.read(&mut piece) {
        all.extend_from_slice(&piece[..read]);
    }
    String::from_utf8_lossy(&all).into_owned()
}
