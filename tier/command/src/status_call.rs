//! The call that asks a controller for its status.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

/// Path of the status on a controller's `admin` address.
const STATUS_PATH: &str = "/-/status";

/// Longest wait for a whole answer; a controller in service answers within milliseconds.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Largest answer read, in bytes: a status of ten thousand machines stays below it.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why no status came.
#[derive(Debug, Error)]
pub(crate) enum StatusError {
    /// The runtime or the connection could not be set up.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The exchange broke off.
    #[error("the call failed: {0}")]
    Call(#[from] hyper::Error),
    /// The request could not be built.
    #[error("the call failed: {0}")]
    Request(#[from] hyper::http::Error),
    /// The controller gave no status.
    #[error("the controller answered {0}")]
    Refused(StatusCode),
    /// The body broke off or is too large.
    #[error("the answer could not be read: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The answer is no JSON.
    #[error("the answer is no JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// No whole answer came in time.
    #[error("no answer within {} s", TIMEOUT.as_secs())]
    TimedOut(#[from] tokio::time::error::Elapsed),
}

/// Asks the controller at `address`; the body of its answer.
pub(crate) fn fetch(address: SocketAddr) -> Result<Bytes, StatusError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async { tokio::time::timeout(TIMEOUT, call(address)).await? })
}

async fn call(address: SocketAddr) -> Result<Bytes, StatusError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::get(STATUS_PATH).header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await?;
    if answer.status() != StatusCode::OK {
        return Err(StatusError::Refused(answer.status()));
    }
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
    let collected = body.collect().await.map_err(StatusError::Body)?;
    Ok(collected.to_bytes())
}
