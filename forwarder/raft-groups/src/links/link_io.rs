//! Reading and writing frames on a stream, and timeouts.

use std::future::Future;
use std::net::TcpStream;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde::de::DeserializeOwned;

use crate::wire::frame::{decode_body, decode_header, FrameError, HEADER_LEN};

/// The reason why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum LinkError {
    /// The peer closed the connection, or the network failed.
    #[error("the connection ended")]
    Disconnected,
    #[error("silence")]
    Timeout,
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// Runs `work` for at most `timeout`.
pub(super) async fn with_timeout<T>(
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
    // The buffer grows with the received data instead of the length in the header, which is not trustworthy.
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
