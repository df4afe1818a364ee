//! Discovery by hand: the story has each request's connection, and answers as well or as badly as
//! it likes.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Instant;

use serde_json::Value;

use super::read_message;

/// One request as discovery got it.
pub struct Request {
    /// The number of its connection.
    pub connection: usize,
    pub head: String,
    pub body: Vec<u8>,
    pub came: Instant,
    pub stream: TcpStream,
}

impl Request {
    /// Whether it is a watch, and not an ask for the whole list.
    pub fn is_watch(&self) -> bool {
        self.head.starts_with("GET /discovery/hosts?")
    }

    /// What a watch asks for.
    pub fn number(&self, name: &str) -> u64 {
        let line = self.head.lines().next().expect("a line");
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
            .expect("the connection stands");
    }

    pub fn breaks_off(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Discovery, and all that it is asked.
pub fn by_hand() -> (SocketAddr, Receiver<Request>) {
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
                    let came = Instant::now();
                    if request
                        .send(Request {
                            connection,
                            head,
                            body,
                            came,
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

/// A page of the list as it is answered.
pub fn list(revision: u64, complete: bool, members: &[Value]) -> String {
    let text = serde_json::json!({"revision": revision, "complete": complete, "members": members})
        .to_string();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    )
}
