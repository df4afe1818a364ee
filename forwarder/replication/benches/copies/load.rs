//! Clients: each hands in one event after the other over one connection, and waits for its 202 and until it
//! has come to the target: so that nobody hands in more than is delivered.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::target::Came;

const BODY: usize = 400;

/// Events that were refused, 503 or otherwise.
pub static REFUSED: AtomicUsize = AtomicUsize::new(0);

/// Microseconds to each 202, and to each event's call at the target.
pub struct Times {
    pub taken: Histogram<u64>,
    pub came: Histogram<u64>,
}

pub fn run(
    to: &[SocketAddr],
    clients: usize,
    span: Duration,
    name: &str,
    came: &Arc<Came>,
) -> Times {
    let ends = Instant::now() + span;
    let clients = (0..to.len() * clients).map(|number| {
        let (to, name, came) = (
            to[number % to.len()],
            format!("{name}.{number}"),
            came.clone(),
        );
        thread::spawn(move || client(to, ends, number, &name, &came))
    });
    let mut all = Times::new();
    for client in clients.collect::<Vec<_>>() {
        let Times { taken, came } = client.join().expect("a client ends");
        all.taken.add(taken).expect("fits");
        all.came.add(came).expect("fits");
    }
    all
}

impl Times {
    fn new() -> Self {
        let empty = || Histogram::new(3).expect("fits");
        Times {
            taken: empty(),
            came: empty(),
        }
    }
}

fn client(to: SocketAddr, ends: Instant, client: usize, name: &str, came: &Came) -> Times {
    let mut times = Times::new();
    let mut stream = connect(to);
    let from = came.next(client);
    for number in from.. {
        let began = Instant::now();
        if began > ends {
            break;
        }
        match hand(&mut stream, &format!("{name}-{number}")) {
            202 => {
                times
                    .taken
                    .record(began.elapsed().as_micros() as u64)
                    .expect("fits");
                came.wait(client, number);
                times
                    .came
                    .record(began.elapsed().as_micros() as u64)
                    .expect("fits");
            }
            0 => stream = connect(to),
            // Refused: full for the moment.
            _ => {
                REFUSED.fetch_add(1, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(1));
            }
        }
    }
    times
}

fn connect(to: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(to).expect("listens");
    stream.set_nodelay(true).expect("a socket");
    BufReader::new(stream)
}

/// The status, or 0 if the connection is closed.
fn hand(stream: &mut BufReader<TcpStream>, id: &str) -> u16 {
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

/// Hands in so many events, all taken.
pub fn hand_in(to: SocketAddr, events: usize, name: &str) {
    let mut stream = connect(to);
    for number in 0..events {
        let id = format!("{name}-{number}");
        while hand(&mut stream, &id) != 202 {
            stream = connect(to);
            thread::sleep(Duration::from_millis(5));
        }
    }
}
