//! A discovery service controlled by the test, which receives each request with its connection and
//! writes any response, also a malformed one.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Instant;

use serde_json::Value;

use super::read_message;

/// A request that discovery received.
pub struct Request {
    /// The number of the connection, from 0 in the order of acceptance.
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
    pub received_at: Instant,
    pub stream: TcpStream,
}

impl Request {
    /// Whether the request is a watch, and not a request for the complete list.
    pub fn is_watch(&self) -> bool {
        self.head.starts_with("GET /discovery/hosts?")
    }

    /// The value of a numeric query parameter.
    pub fn query_number(&self, name: &str) -> u64 {
        let line = self.head.lines().next().expect("a request line");
        let value = line
            .split(['?', '&', ' '])
            .find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
        value
            .unwrap_or_else(|| panic!("no {name} in {line}"))
            .parse()
            .expect("a number")
    }

    pub fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("connection is open");
    }

    pub fn disconnect(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Starts discovery; returns its address and the requests that it receives.
pub fn manual_discovery() -> (SocketAddr, Receiver<Request>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let (request, requests) = channel();
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().enumerate() {
            let (stream, request) = (stream.expect("accepts"), request.clone());
            thread::spawn(move || {
                let mut from = BufReader::new(stream.try_clone().expect("a socket"));
                while let Some((head, body)) = read_message(&mut from) {
                    let stream = stream.try_clone().expect("a socket");
                    let received_at = Instant::now();
                    if request
                        .send(Request {
                            connection,
                            head,
                            body,
                            received_at,
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
    (address, requests)
}

/// The response with a page of the endpoint list.
pub fn list_response(revision: u64, complete: bool, members: &[Value]) -> String {
    let text = serde_json::json!({"revision": revision, "complete": complete, "members": members})
        .to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    )
}
