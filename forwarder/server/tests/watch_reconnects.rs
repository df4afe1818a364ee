//! Discovery falls silent in the ways that peers do, or breaks off: the watch on the list is begun
//! anew.

mod peers;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{json, Value};

use peers::*;

/// A watch as discovery got it; the story has its connection.
struct Watch {
    connection: usize,
    wait: Duration,
    came: Instant,
    stream: TcpStream,
}

impl Watch {
    fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("connection is open");
    }
}

/// Discovery without a list for those that start; its connections stay open until the story drops
/// them.
fn watched() -> (SocketAddr, Receiver<Watch>) {
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
                            came: Instant::now(),
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
enum Falls {
    /// It never says a word.
    Silent,
    /// It answered once, and whoever it was is gone without a sign.
    HalfOpen,
    /// Its answer has begun, and a byte comes now and then.
    Trickling,
}

/// What a silent watch missed counts as told two seconds after its wait: half of one before, the
/// next has to be out.
#[rstest]
#[case::silent(Falls::Silent)]
#[case::half_open(Falls::HalfOpen)]
#[case::trickling(Falls::Trickling)]
fn a_watch_that_fell_silent_is_begun_anew_before_its_news_count_as_told(#[case] falls: Falls) {
    // A busy machine may be late once; one that begins too late is late each time.
    assert!((0..4).any(|_| is_begun_anew_in_time(falls)));
}

fn is_begun_anew_in_time(falls: Falls) -> bool {
    let ((old, old_calls), (new, new_calls)) = (stand_in(), stand_in());
    let (discovery, watches) = watched();
    let forwarder = Forwarder::start(&config(discovery, old));
    let mut silent = receive(&watches);
    match falls {
        Falls::Silent => (),
        Falls::HalfOpen => {
            silent.write(&changes_response(&[]));
            let goes_on = receive(&watches);
            assert_eq!(goes_on.connection, silent.connection);
            silent = goes_on;
        }
        Falls::Trickling => {
            silent.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
            let mut stream = silent.stream.try_clone().expect("a socket");
            thread::spawn(move || {
                while stream.write_all(b" ").is_ok() {
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
    }
    let mut again = receive(&watches);
    assert_ne!(
        again.connection, silent.connection,
        "the silent one is not asked again"
    );
    again.write(&changes_response(&[
        member("t", old, "draining"),
        member("u", new, "up"),
    ]));
    receive(&watches); // the page was handed on
    forwarder.submit("a", "job", "");
    assert_eq!(receive(&new_calls).id(), "a");
    assert!(old_calls.try_recv().is_err());
    again.came < silent.came + silent.wait + Duration::from_millis(1_500)
}

/// Guards the pushed list, which counts as told with no watch open: with the pauses that spare a
/// discovery of its own to a fleet of 300, so many failures would keep it away for over a minute.
#[rstest]
fn an_agent_that_breaks_off_again_and_again_is_asked_on_however_large_the_fleet() {
    let ((old, _old_calls), (new, new_calls)) = (stand_in(), stand_in());
    let (discovery, watches) = watched();
    let mut told = config(discovery, old);
    told["settings"]["discovery"] = json!("pushed");
    told["settings"]["balancers"] = json!(300);
    let forwarder = Forwarder::start(&told);
    let by = Instant::now() + LONG;
    for _ in 0..12 {
        assert!(Instant::now() < by, "it stays away");
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
fn a_list_that_comes_indented_and_in_chunks_is_read() {
    let ((old, _old_calls), (new, new_calls)) = (stand_in(), stand_in());
    let (discovery, watches) = watched();
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
