//! Stub servers for targets and discovery.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use serde_json::{json, Value};

use super::ERROR;

/// Ends a reply after which the stub closes the connection.
pub const CLOSE_CONNECTION: char = '\0';

/// A request that a stub received. Text sent to `reply` is written to the connection.
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
    reply: Sender<String>,
}

impl ReceivedRequest {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }
    pub fn id(&self) -> &str {
        self.field("Req-Id").expect("every call has an id")
    }
    pub fn respond(self, text: &str) {
        self.reply
            .send(text.to_owned())
            .expect("connection is open");
    }
}

pub fn read_message(from: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
    from.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Starts a server; returns its address and the requests that it receives.
pub fn stub_server() -> (SocketAddr, Receiver<ReceivedRequest>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (asked, all) = channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, asked) = (stream.expect("accepts"), asked.clone());
            thread::spawn(move || {
                let mut from = BufReader::new(stream);
                while let Some((head, body)) = read_message(&mut from) {
                    let (reply, replies) = channel();
                    let _ = asked.send(ReceivedRequest { head, body, reply });
                    match replies.recv() {
                        Ok(text) => {
                            let _ = from
                                .get_mut()
                                .write_all(text.trim_end_matches(CLOSE_CONNECTION).as_bytes());
                            if text.ends_with(CLOSE_CONNECTION) {
                                return;
                            }
                        }
                        Err(_) => return,
                    }
                }
            });
        }
    });
    (address, all)
}

/// Starts discovery; returns its address, the watches, which the test answers, and the notices.
/// Notice requests are acknowledged at once, but for the first `failing_notices`, which fail.
pub fn discovery_stub(
    failing_notices: usize,
) -> (SocketAddr, Receiver<ReceivedRequest>, Receiver<Value>) {
    let (address, asked) = stub_server();
    let (watch, watches) = channel();
    let (notice, notices) = channel();
    let failures_left = AtomicUsize::new(failing_notices);
    thread::spawn(move || {
        for request in asked {
            if request.head.starts_with("GET /discovery/hosts ") {
                request.respond(ERROR); // the complete list is not available
                continue;
            }
            if request.head.starts_with("GET /discovery/hosts?") {
                let _ = watch.send(request);
                continue;
            }
            assert!(request.head.starts_with("POST /status "));
            for line in String::from_utf8_lossy(&request.body).lines() {
                let _ = notice.send(serde_json::from_str(line).expect("one JSON value a line"));
            }
            let fails = failures_left
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1))
                .is_ok();
            let unreadable = String::from_utf8_lossy(&request.body).contains("unreadable");
            request.respond(match (fails, unreadable) {
                (true, _) => ERROR,
                (_, true) => "HTTP/1.1 400 What\r\nContent-Length: 0\r\n\r\n",
                _ => "HTTP/1.1 204 Fine\r\n\r\n",
            });
        }
    });
    (address, watches, notices)
}

/// The response to a watch with changes of the endpoint list.
pub fn changes_response(members: &[Value]) -> String {
    let text = json!({"revision": 42, "complete": false, "members": members}).to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    )
}
