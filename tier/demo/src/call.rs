//! One HTTP/1.1 request and its response on a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest response body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A complete response.
#[derive(Debug)]
pub struct CallResponse {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Reason why a call got no complete response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[error("connection cannot be opened: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed before the head of the response was received.
    #[error("connection failed before the response: {0}")]
    Connection(#[from] hyper::Error),
    /// The response body is truncated or too large.
    #[error("response body cannot be read: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The time limit passed before the response was complete.
    #[error("no complete response within the time limit")]
    TimedOut(#[from] tokio::time::error::Elapsed),
}

impl CallError {
    /// Short name of the kind of failure, for the report.
    pub fn kind(&self) -> &'static str {
        match self {
            CallError::Connect(_) => "no connection",
            CallError::Connection(_) => "connection failed",
            CallError::Body(_) => "unreadable response body",
            CallError::TimedOut(_) => "response timeout",
        }
    }
}

/// Sends `request` to `address` and reads the complete response within `time_limit`.
///
/// # Errors
/// [`CallError`] if no complete response is received; a response of any status is no error.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    time_limit: Duration,
) -> Result<CallResponse, CallError> {
    timeout(time_limit, exchange(address, request)).await?
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<CallResponse, CallError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(CallError::Body)?;
    Ok(CallResponse {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
