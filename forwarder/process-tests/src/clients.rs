//! Clients: each request on a connection of its own, and what became of it in the book.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::book::{Book, Effect, Seen};
use crate::http;

/// An event as a client hands it in.
#[derive(Clone, Debug)]
pub struct Handed {
    pub id: String,
    /// The id under which the client first handed in what it wants done.
    pub origin: String,
    pub effect: Effect,
    pub key: Option<u64>,
    /// How long it may be delivered.
    pub patience: Duration,
    /// How long the client waits for its answer.
    pub waits: Duration,
    pub body: usize,
}

impl Handed {
    pub fn new(id: &str, effect: Effect) -> Handed {
        let (patience, waits) = (Duration::from_secs(60), Duration::from_secs(20));
        Handed {
            id: id.into(),
            origin: id.into(),
            effect,
            key: None,
            patience,
            waits,
            body: 4,
        }
    }
    pub fn key(self, key: u64) -> Handed {
        Handed {
            key: Some(key),
            ..self
        }
    }
    pub fn waits(self, waits: Duration) -> Handed {
        Handed { waits, ..self }
    }
    pub fn body(self, body: usize) -> Handed {
        Handed { body, ..self }
    }
    /// The same thing again, under an id of its own.
    pub fn again(&self, id: &str) -> Handed {
        Handed {
            id: id.into(),
            ..self.clone()
        }
    }

    /// Ordered by key and unordered traffic types are told apart.
    fn path(&self) -> &'static str {
        match (self.effect, self.key) {
            (Effect::Retriable, None) => "job",
            (Effect::Fingerprinted, None) => "order",
            (Effect::Binding, None) => "charge",
            (Effect::Retriable, Some(_)) => "job-in-order",
            (Effect::Fingerprinted, Some(_)) => "order-in-order",
            (Effect::Binding, Some(_)) => "charge-in-order",
        }
    }

    fn request(&self) -> Vec<u8> {
        let key = self
            .key
            .map_or(String::new(), |key| format!("Cookie: about={key:x}\r\n"));
        let head = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {}\r\nReq-Deadline: {}\r\nX-Envelope: dest=1\r\n\
             Idempotency-Key: f-{}\r\n{key}Content-Length: {}\r\n\r\n",
            self.path(),
            self.id,
            self.patience.as_secs_f64(),
            self.origin,
            self.body
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + self.body, b'b');
        request
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 202: promised.
    Taken,
    /// 503 or 429: surely not taken on.
    Refused,
    /// Another status.
    Failed(u16),
    /// None: it may have been taken on or not.
    Unheard,
}

/// Hands it in to the instance that is reached at `to`.
pub fn hand_in(book: &Book, instance: usize, to: SocketAddr, handed: &Handed) -> Answer {
    let (event, origin) = (book.event(&handed.id), book.event(&handed.origin));
    let Handed {
        effect,
        key,
        patience,
        ..
    } = *handed;
    let patience = patience.as_secs_f64() * 1000.0;
    book.note(Seen::Asked {
        instance,
        event,
        origin,
        effect,
        key,
        patience,
    });
    let status = exchange(to, handed);
    book.note(match status {
        Some(status) => Seen::Answered { event, status },
        None => Seen::Unheard { event },
    });
    match status {
        Some(202) => Answer::Taken,
        Some(503 | 429) => Answer::Refused,
        Some(other) => Answer::Failed(other),
        None => Answer::Unheard,
    }
}

fn exchange(to: SocketAddr, handed: &Handed) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, handed.waits).ok()?;
    stream.set_read_timeout(Some(handed.waits)).ok()?;
    stream.write_all(&handed.request()).ok()?;
    http::read(&mut BufReader::new(stream))
        .ok()
        .map(|answer| answer.status())
}

/// The status of a `GET` there, if it is answered.
pub fn get(to: SocketAddr, path: &str) -> Option<u16> {
    let waits = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&to, waits).ok()?;
    stream.set_read_timeout(Some(waits)).ok()?;
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
        .ok()?;
    http::read(&mut BufReader::new(stream))
        .ok()
        .map(|answer| answer.status())
}
