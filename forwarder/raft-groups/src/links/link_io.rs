//! Frames from a stream, within a time.

use std::future::Future;
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde::de::DeserializeOwned;

use crate::wire::frame::{decode_body, decode_header, FrameError, HEADER_LEN};

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum LinkError {
    /// The other side has gone, or the network.
    #[error("the connection ended")]
    Disconnected,
    #[error("silence")]
    Timeout,
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Runs `work` for `timeout` at most.
pub(super) async fn within<T>(
    timeout: Duration,
    work: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    future::or(work, async {
        Timer::after(timeout).await;
        Err(LinkError::Timeout)
    })
    .await
}

/// Reads one frame whose body is at most `max_body_len` bytes long.
pub(super) async fn read_frame<T: DeserializeOwned>(
    stream: &mut Async<TcpStream>,
    max_body_len: usize,
) -> Result<T, LinkError> {
    let mut header = [0; HEADER_LEN];
    stream
        .read_exact(&mut header)
        .await
        .map_err(|_| LinkError::Disconnected)?;
    let header = decode_header(header, max_body_len)?;
    // Grows with what came, not with what was announced.
    let mut body = Vec::new();
    let read = (&mut *stream)
        .take(header.length as u64)
        .read_to_end(&mut body)
        .await;
    read.map_err(|_| LinkError::Disconnected)?;
    if body.len() < header.length {
        return Err(FrameError::Torn.into());
    }
    Ok(decode_body(&body, header.checksum)?)
}

/// Writes all of `bytes`.
pub(super) async fn write_all(
    stream: &mut Async<TcpStream>,
    bytes: &[u8],
) -> Result<(), LinkError> {
    stream
        .write_all(bytes)
        .await
        .map_err(|_| LinkError::Disconnected)
}
