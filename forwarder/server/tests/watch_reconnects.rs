//! Discovery stops responding in several ways, or closes the connection: the watch on the endpoint
//! list is started again on a new connection.

mod peers;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

/// A watch that discovery received, with its connection.
struct Watch {
    connection: usize,
    wait: Duration,
    received_at: Instant,
    stream: TcpStream,
}

impl Watch {
    fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("connection is open");
    }
}

/// Starts discovery, which fails requests for the complete list. Its connections stay open until
/// the test drops them.
fn watched_discovery() -> (SocketAddr, Receiver<Watch>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (watch, watches) = channel();
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().enumerate() {
            let (stream, watch) = (stream.expect("accepts"), watch.clone());
            thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().expect("a socket"));
                while let Some((head, _)) = read_message(&mut from) {
                    let mut stream = stream.try_clone().expect("a socket");
                    let Some(wait) = head
                        .lines()
                        .next()
                        .and_then(|l| l.split("timeout_ms=").nth(1))
                    else {
                        let _ = stream.write_all(ERROR.as_bytes());
                        continue;
                    };
                    let wait = wait.split(' ').next().and_then(|wait| wait.parse().ok());
                    let wait = Duration::from_millis(wait.expect("milliseconds"));
                    if watch
                        .send(Watch {
                            connection,
                            wait,
                            received_at: Instant::now(),
                            stream,
                        })
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    (address, watches)
}

#[derive(Clone, Copy)]
enum Fault {
    /// Discovery sends nothing.
    Silent,
    /// Discovery answered once and is gone, with the connection still open.
    HalfOpen,
    /// The response has begun, and continues with a byte every 200 ms.
    Trickling,
}

/// A change that an unanswered watch missed counts as reported two seconds after the watch's wait:
/// the next watch has to be sent half a second before that.
#[rstest]
#[case::silent(Fault::Silent)]
#[case::half_open(Fault::HalfOpen)]
#[case::trickling(Fault::Trickling)]
fn an_unanswered_watch_is_restarted_before_its_changes_count_as_reported(#[case] fault: Fault) {
    // A busy machine may be late once; a watch that is always started too late fails each time.
    assert!((0..4).any(|_| is_restarted_in_time(fault)));
}

fn is_restarted_in_time(fault: Fault) -> bool {
    let ((old, old_calls), (new, new_calls)) = (stub_server(), stub_server());
    let (discovery, watches) = watched_discovery();
    let forwarder = Forwarder::start(&config(discovery, old));
    let mut stalled = receive(&watches);
    match fault {
        Fault::Silent => (),
        Fault::HalfOpen => {
            stalled.write(&changes_response(&[]));
            let next_watch = receive(&watches);
            assert_eq!(next_watch.connection, stalled.connection);
            stalled = next_watch;
        }
        Fault::Trickling => {
            stalled.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
            let mut stream = stalled.stream.try_clone().expect("a socket");
            thread::spawn(move || {
                while stream.write_all(b" ").is_ok() {
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
    }
    let mut again = receive(&watches);
    assert_ne!(
        again.connection, stalled.connection,
        "the unresponsive connection is not used again"
    );
    again.write(&changes_response(&[
        member("t", old, "draining"),
        member("u", new, "up"),
    ]));
    receive(&watches); // the page was passed on
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&new_calls).id(), "a");
    assert!(old_calls.try_recv().is_err());
    again.received_at < stalled.received_at + stalled.wait + Duration::from_millis(1_500)
}

/// Guards the pushed list, whose changes count as reported while no watch is open: with the
/// backoffs that a fleet of 300 uses for a shared discovery, this many failures would stop the
/// watch for over a minute.
#[rstest]
fn an_agent_that_keeps_disconnecting_is_still_watched_in_any_size_of_fleet() {
    let ((old, _old_calls), (new, new_calls)) = (stub_server(), stub_server());
    let (discovery, watches) = watched_discovery();
    let mut config_value = config(discovery, old);
    config_value["settings"]["discovery"] = json!("pushed");
    config_value["settings"]["balancers"] = json!(300);
    let forwarder = Forwarder::start(&config_value);
    let by = Instant::now() + TIMEOUT;
    for _ in 0..12 {
        assert!(Instant::now() < by, "the watch is not started again");
        receive(&watches)
            .stream
            .shutdown(std::net::Shutdown::Both)
            .expect("was open");
    }
    receive(&watches).write(&changes_response(&[
        member("t", old, "removed"),
        member("u", new, "up"),
    ]));
    receive(&watches);
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&new_calls).id(), "a");
}

#[rstest]
fn an_indented_list_in_chunks_is_read() {
    let ((old, _old_calls), (new, new_calls)) = (stub_server(), stub_server());
    let (discovery, watches) = watched_discovery();
    let forwarder = Forwarder::start(&config(discovery, old));
    let list: Value =
        json!({"revision": 42, "complete": true, "members": [member("u", new, "up")]});
    let text = format!(
        "\r\n\t{}\n",
        serde_json::to_string_pretty(&list).expect("is JSON")
    );
    let mut watch = receive(&watches);
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for line in text.split_inclusive('\n') {
        watch.write(&format!("{:x}\r\n{line}\r\n", line.len()));
    }
    watch.write("0\r\n\r\n");
    receive(&watches);
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&new_calls).id(), "a");
}
