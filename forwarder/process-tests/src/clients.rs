//! Clients: each request uses a separate connection, and its outcome is recorded in the trace.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;
use crate::trace::{Idempotency, Trace, TraceRecord};

/// An event that a client submits.
#[derive(Clone, Debug)]
pub struct EventRequest {
    pub id: String,
    /// The id under which the client first submitted the same operation.
    pub origin: String,
    pub idempotency: Idempotency,
    /// The order key.
    pub key: Option<u64>,
    /// Time from submission to the deadline of the delivery.
    pub time_to_deadline: Duration,
    /// Time for which the client waits for the response.
    pub response_timeout: Duration,
    /// Size of the body in bytes.
    pub body: usize,
}

impl EventRequest {
    pub fn new(id: &str, idempotency: Idempotency) -> EventRequest {
        let (time_to_deadline, response_timeout) =
            (Duration::from_secs(60), Duration::from_secs(20));
        EventRequest {
            id: id.into(),
            origin: id.into(),
            idempotency,
            key: None,
            time_to_deadline,
            response_timeout,
            body: 4,
        }
    }
    pub fn key(self, key: u64) -> EventRequest {
        EventRequest {
            key: Some(key),
            ..self
        }
    }
    pub fn response_timeout(self, response_timeout: Duration) -> EventRequest {
        EventRequest {
            response_timeout,
            ..self
        }
    }
    pub fn body(self, body: usize) -> EventRequest {
        EventRequest { body, ..self }
    }
    /// The same operation under another id.
    pub fn with_id(&self, id: &str) -> EventRequest {
        EventRequest {
            id: id.into(),
            ..self.clone()
        }
    }

    /// The path of the traffic type, which depends on the idempotency and on whether the event has an order key.
    fn path(&self) -> &'static str {
        match (self.idempotency, self.key) {
            (Idempotency::Idempotent, None) => "job",
            (Idempotency::Deduplicated, None) => "order",
            (Idempotency::NonIdempotent, None) => "charge",
            (Idempotency::Idempotent, Some(_)) => "job-in-order",
            (Idempotency::Deduplicated, Some(_)) => "order-in-order",
            (Idempotency::NonIdempotent, Some(_)) => "charge-in-order",
        }
    }

    fn to_http(&self) -> Vec<u8> {
        let key = self
            .key
            .map_or(String::new(), |key| format!("Cookie: about={key:x}\r\n"));
        let head = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {}\r\nReq-Deadline: {}\r\nX-Envelope: dest=1\r\n\
             Idempotency-Key: f-{}\r\n{key}Content-Length: {}\r\n\r\n",
            self.path(),
            self.id,
            self.time_to_deadline.as_secs_f64(),
            self.origin,
            self.body
        );
        let mut request = head.into_bytes();
        request.resize(request.len() + self.body, b'b');
        request
    }
}

/// Response to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 202: the event is accepted.
    Accepted,
    /// 503 or 429: the event is certainly not accepted.
    Rejected,
    /// Another status.
    Failed(u16),
    /// No response: the event may have been accepted or not.
    NoResponse,
}

/// Submits an event to the instance at the address `to`.
pub fn submit(trace: &Trace, instance: usize, to: SocketAddr, request: &EventRequest) -> Answer {
    let (event, origin) = (
        trace.event_number(&request.id),
        trace.event_number(&request.origin),
    );
    let EventRequest {
        idempotency,
        key,
        time_to_deadline,
        ..
    } = *request;
    let time_to_deadline = time_to_deadline.as_secs_f64() * 1000.0;
    trace.record(TraceRecord::RequestSent {
        instance,
        event,
        origin,
        idempotency,
        key,
        time_to_deadline,
    });
    let status = exchange(to, request);
    trace.record(match status {
        Some(status) => TraceRecord::ResponseReceived { event, status },
        None => TraceRecord::NoResponse { event },
    });
    match status {
        Some(202) => Answer::Accepted,
        Some(503 | 429) => Answer::Rejected,
        Some(other) => Answer::Failed(other),
        None => Answer::NoResponse,
    }
}

fn exchange(to: SocketAddr, request: &EventRequest) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, request.response_timeout).ok()?;
    stream
        .set_read_timeout(Some(request.response_timeout))
        .ok()?;
    stream.write_all(&request.to_http()).ok()?;
    http::read(&mut BufReader::new(stream))
        .ok()
        .map(|answer| answer.status())
}

/// Sends a `GET` request; returns the status of the response, if there is one.
pub fn get(to: SocketAddr, path: &str) -> Option<u16> {
    let response_timeout = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&to, response_timeout).ok()?;
    stream.set_read_timeout(Some(response_timeout)).ok()?;
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes())
        .ok()?;
    http::read(&mut BufReader::new(stream))
        .ok()
        .map(|answer| answer.status())
}
