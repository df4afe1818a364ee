//! The target of all events: answers each call with 200 after a span.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Each client's event that came last: ids end in `CLIENT-NUMBER`.
#[derive(Default)]
pub struct Came {
    last: Mutex<Vec<u64>>,
    changed: Condvar,
}

impl Came {
    fn note(&self, id: &str) -> Option<()> {
        let (client, number) = id.rsplit_once('-')?;
        let (client, number): (usize, u64) = (
            client.rsplit('.').next()?.parse().ok()?,
            number.parse().ok()?,
        );
        let mut last = self.last.lock().ok()?;
        let most = last.len().max(client + 1);
        last.resize(most, 0);
        last[client] = last[client].max(number);
        self.changed.notify_all();
        Some(())
    }

    /// What the client's next event is to be numbered.
    pub fn next(&self, client: usize) -> u64 {
        self.last
            .lock()
            .expect("no panic")
            .get(client)
            .map_or(1, |last| last + 1)
    }

    /// Returns once the client's event has come.
    pub fn wait(&self, client: usize, number: u64) {
        let last = self.last.lock().expect("no panic");
        let waits = |last: &mut Vec<u64>| last.get(client).is_none_or(|came| *came < number);
        drop(
            self.changed
                .wait_timeout_while(last, Duration::from_secs(10), waits),
        );
    }
}

pub struct Target {
    pub address: SocketAddr,
    pub came: Arc<Came>,
    /// When a call's first line came, and when its connection was accepted.
    calls: Receiver<(Instant, Instant)>,
}

impl Target {
    pub fn start(span: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (tell, calls) = channel();
        let came = Arc::new(Came::default());
        let noted = came.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (tell, noted) = (tell.clone(), noted.clone());
                thread::spawn(move || serve(stream, span, tell, &noted));
            }
        });
        Target {
            address,
            came,
            calls,
        }
    }

    pub fn first_call_on_a_connection_after(&self, since: Instant) -> Duration {
        let long = Duration::from_secs(30);
        loop {
            let (came, accepted) = self.calls.recv_timeout(long).expect("an heir sends");
            if accepted > since {
                return came - since;
            }
        }
    }
}

fn serve(
    stream: TcpStream,
    span: Duration,
    tell: Sender<(Instant, Instant)>,
    came: &Came,
) -> Option<()> {
    let accepted = Instant::now();
    stream.set_nodelay(true).ok()?;
    let mut from = BufReader::new(stream);
    let (mut line, mut body, mut id) = (String::new(), Vec::new(), String::new());
    loop {
        let mut length = 0;
        loop {
            line.clear();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            if let Some(value) = line.strip_prefix("Content-Length: ") {
                length = value.trim().parse().ok()?;
            }
            if let Some(value) = line.strip_prefix("Req-Id: ") {
                id = value.trim().to_owned();
            }
            if line == "\r\n" {
                break;
            }
        }
        let _ = tell.send((Instant::now(), accepted));
        body.resize(length, 0);
        from.read_exact(&mut body).ok()?;
        came.note(&id);
        if !span.is_zero() {
            thread::sleep(span);
        }
        from.get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .ok()?;
    }
}
