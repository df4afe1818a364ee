//! Calls of a controller's operator interface (HTTP/1.1 with JSON), each on a separate connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use thiserror::Error;
use tokio::net::TcpStream;

/// Timeout of a complete answer; a controller in service answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of an answer, in bytes: a status with ten thousand machines is smaller.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A call failed or was rejected.
#[derive(Debug, Error)]
pub(crate) enum CallError {
    /// The runtime or the connection could not be set up.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection failed during the call.
    #[error("the call failed: {0}")]
    Call(#[from] hyper::Error),
    /// The request could not be built.
    #[error("the call failed: {0}")]
    Request(#[from] hyper::http::Error),
    /// The controller rejected the call.
    #[error("the controller answered {status}{}", format_reason(.reason))]
    Rejected {
        /// The HTTP status of the answer.
        status: StatusCode,
        /// The reason in the answer, if there is one.
        reason: Option<String>,
    },
    /// The body is truncated or too large.
    #[error("cannot read the answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The answer is not JSON.
    #[error("the answer is not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// No complete answer arrived within [`CALL_TIMEOUT`].
    #[error("no answer within {} s", CALL_TIMEOUT.as_secs())]
    TimedOut(#[from] tokio::time::error::Elapsed),
}

/// A call of a controller.
pub(crate) struct ControllerCall {
    method: Method,
    path: &'static str,
    body: Bytes,
}

impl ControllerCall {
    /// Creates a `GET` call of `path`.
    pub(crate) fn get(path: &'static str) -> Self {
        ControllerCall {
            method: Method::GET,
            path,
            body: Bytes::new(),
        }
    }

    /// Creates a `POST` call of `path` with the body `order`.
    pub(crate) fn post(path: &'static str, order: &Value) -> Self {
        ControllerCall {
            method: Method::POST,
            path,
            body: order.to_string().into(),
        }
    }

    /// Sends the call to the controller at `address`; returns the body of the answer.
    ///
    /// # Errors
    /// [`CallError`] if no complete answer with status 200 arrives within [`CALL_TIMEOUT`].
    pub(crate) fn send(self, address: SocketAddr) -> Result<Bytes, CallError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime
            .block_on(async { tokio::time::timeout(CALL_TIMEOUT, self.exchange(address)).await? })
    }

    async fn exchange(self, address: SocketAddr) -> Result<Bytes, CallError> {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let request = Request::builder().method(self.method).uri(self.path);
        let request = request
            .header(HOST, address.to_string())
            .body(Full::new(self.body))?;
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(CallError::Body)?.to_bytes();
        if status != StatusCode::OK {
            return Err(CallError::Rejected {
                status,
                reason: parse_reason(&body),
            });
        }
        Ok(body)
    }
}

/// Extracts the reason from the body of a rejection.
fn parse_reason(body: &[u8]) -> Option<String> {
    let body: Value = serde_json::from_slice(body).ok()?;
    body.get("error")?.as_str().map(str::to_owned)
}

fn format_reason(reason: &Option<String>) -> String {
    match reason {
        Some(reason) => format!(": {reason}"),
        None => String::new(),
    }
}
