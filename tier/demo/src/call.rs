//! One HTTP exchange on a connection of its own.

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

/// Largest body read, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Why no complete answer came.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection came up.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke during the call.
    #[error("broken off: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is truncated or too large.
    #[error("body broken off: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No complete answer came in time.
    #[error("no whole answer in time")]
    TimedOut(#[from] tokio::time::error::Elapsed),
}

impl CallError {
    /// What happened, in two or three words.
    pub fn kind(&self) -> &'static str {
        match self {
            CallError::Connect(_) => "no connection",
            CallError::Broken(_) => "closed without answer",
            CallError::Body(_) => "closed within answer",
            CallError::TimedOut(_) => "no answer in time",
        }
    }
}

/// Sends `request` to `address` and reads the complete answer within `limit`.
///
/// # Errors
/// [`CallError`] if no complete answer comes, whatever its status would be.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Answer, CallError> {
    timeout(limit, exchange(address, request)).await?
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer, CallError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(CallError::Body)?;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}
