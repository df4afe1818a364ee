//! The target of all events: answers each call with 200 after a delay.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The number of each client's last event that arrived: ids end in `CLIENT-NUMBER`.
#[derive(Default)]
pub struct Arrivals {
    last: Mutex<Vec<u64>>,
    changed: Condvar,
}

impl Arrivals {
    fn record(&self, id: &str) -> Option<()> {
        let (client, number) = id.rsplit_once('-')?;
        let (client, number): (usize, u64) = (
            client.rsplit('.').next()?.parse().ok()?,
            number.parse().ok()?,
        );
        let mut last = self.last.lock().ok()?;
        let len = last.len().max(client + 1);
        last.resize(len, 0);
        last[client] = last[client].max(number);
        self.changed.notify_all();
        Some(())
    }

    /// The number of the client's next event.
    pub fn next(&self, client: usize) -> u64 {
        self.last
            .lock()
            .expect("no panic")
            .get(client)
            .map_or(1, |last| last + 1)
    }

    /// Returns once the client's event has arrived, or after 10 s.
    pub fn wait(&self, client: usize, number: u64) {
        let last = self.last.lock().expect("no panic");
        let is_missing =
            |last: &mut Vec<u64>| last.get(client).is_none_or(|latest| *latest < number);
        drop(
            self.changed
                .wait_timeout_while(last, Duration::from_secs(10), is_missing),
        );
    }
}

pub struct Target {
    pub address: SocketAddr,
    pub arrivals: Arc<Arrivals>,
    /// When a call's header was read, and when its connection was accepted.
    calls: Receiver<(Instant, Instant)>,
}

impl Target {
    pub fn start(delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (call_sender, calls) = channel();
        let arrivals = Arc::new(Arrivals::default());
        let recorder = arrivals.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (call_sender, recorder) = (call_sender.clone(), recorder.clone());
                thread::spawn(move || serve(stream, delay, call_sender, &recorder));
            }
        });
        Target {
            address,
            arrivals,
            calls,
        }
    }

    pub fn first_call_on_new_connection_after(&self, since: Instant) -> Duration {
        let timeout = Duration::from_secs(30);
        loop {
            let (received, accepted) = self.calls.recv_timeout(timeout).expect("a successor sends");
            if accepted > since {
                return received - since;
            }
        }
    }
}

fn serve(
    stream: TcpStream,
    delay: Duration,
    call_sender: Sender<(Instant, Instant)>,
    arrivals: &Arrivals,
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
        let _ = call_sender.send((Instant::now(), accepted));
        body.resize(length, 0);
        from.read_exact(&mut body).ok()?;
        arrivals.record(&id);
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        from.get_mut()
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .ok()?;
    }
}
