//! Clients: each submits one event after another over one connection, and waits for its 202 and for its call
//! at the target, so that no more events are submitted than delivered.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::target::Arrivals;

const BODY: usize = 400;

/// Events that were rejected, with a 503 or otherwise.
pub static REJECTED: AtomicUsize = AtomicUsize::new(0);

/// Microseconds to each 202, and to each event's call at the target.
pub struct Latencies {
    pub accepted: Histogram<u64>,
    pub arrivals: Histogram<u64>,
}

pub fn run(
    to: &[SocketAddr],
    clients: usize,
    duration: Duration,
    name: &str,
    arrivals: &Arc<Arrivals>,
) -> Latencies {
    let ends = Instant::now() + duration;
    let clients = (0..to.len() * clients).map(|number| {
        let (to, name, arrivals) = (
            to[number % to.len()],
            format!("{name}.{number}"),
            arrivals.clone(),
        );
        thread::spawn(move || client(to, ends, number, &name, &arrivals))
    });
    let mut all = Latencies::new();
    for client in clients.collect::<Vec<_>>() {
        let Latencies { accepted, arrivals } = client.join().expect("a client ends");
        all.accepted.add(accepted).expect("fits");
        all.arrivals.add(arrivals).expect("fits");
    }
    all
}

impl Latencies {
    fn new() -> Self {
        let empty = || Histogram::new(3).expect("fits");
        Latencies {
            accepted: empty(),
            arrivals: empty(),
        }
    }
}

fn client(
    to: SocketAddr,
    ends: Instant,
    client: usize,
    name: &str,
    arrivals: &Arrivals,
) -> Latencies {
    let mut latencies = Latencies::new();
    let mut stream = connect(to);
    let from = arrivals.next(client);
    for number in from.. {
        let began = Instant::now();
        if began > ends {
            break;
        }
        match submit(&mut stream, &format!("{name}-{number}")) {
            202 => {
                latencies
                    .accepted
                    .record(began.elapsed().as_micros() as u64)
                    .expect("fits");
                arrivals.wait(client, number);
                latencies
                    .arrivals
                    .record(began.elapsed().as_micros() as u64)
                    .expect("fits");
            }
            0 => stream = connect(to),
            // Rejected: full for the moment.
            _ => {
                REJECTED.fetch_add(1, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(1));
            }
        }
    }
    latencies
}

fn connect(to: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(to).expect("listens");
    stream.set_nodelay(true).expect("a socket");
    BufReader::new(stream)
}

/// The status of the response, or 0 if the connection is closed.
fn submit(stream: &mut BufReader<TcpStream>, id: &str) -> u16 {
    let body = "b".repeat(BODY);
    let request = format!(
        "POST /job HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Deadline: 60\r\nX-Envelope: dest=1\r\n\
         Content-Length: {BODY}\r\n\r\n{body}"
    );
    if stream.get_mut().write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let (mut status, mut line) = (0, String::new());
    loop {
        line.clear();
        if stream.read_line(&mut line).unwrap_or(0) == 0 {
            return 0;
        }
        if status == 0 {
            status = line
                .split(' ')
                .nth(1)
                .and_then(|word| word.parse().ok())
                .unwrap_or(0);
        }
        if line == "\r\n" {
            return status;
        }
    }
}

/// Submits the given number of events; returns once all are accepted.
pub fn submit_all(to: SocketAddr, events: usize, name: &str) {
    let mut stream = connect(to);
    for number in 0..events {
        let id = format!("{name}-{number}");
        while submit(&mut stream, &id) != 202 {
            stream = connect(to);
            thread::sleep(Duration::from_millis(5));
        }
    }
}
