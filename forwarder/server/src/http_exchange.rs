//! One HTTP/1.1 exchange as a client: a request and its response. Used by calls to targets, the
//! endpoint watch and the notifier; the parsing is in `plankhill_http1`.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use plankhill_http1::{self as http1, ChunkedDecoder, HeadSearch, Malformed, ResponseHead};

use crate::stream::{connect, is_open_without_data, until, Stream, MAX_HEAD_BYTES};

/// Time limit for connecting. The system retransmits a lost packet after one second, then after
/// two, four and eight; a longer connect would reach a recovered discovery only at the next
/// retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time limit from the first byte of a response to its last: many times what a body of 64 KiB
/// takes.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// The same limit for a response with status 200, whose remainder only determines whether its
/// connection can be reused.
pub const DELIVERED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection cannot be established, or failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The received bytes are not a response, are incomplete at the time limit, or exceed a limit.
    #[error("{0}")]
    Malformed(&'static str),
    /// There is no connection or no response within the time limit.
    #[error("timed out")]
    TimedOut,
}

impl ExchangeError {
    /// Whether the peer did not respond in time, as opposed to a failure.
    pub fn is_timeout(&self) -> bool {
        match self {
            ExchangeError::Io(error) => error.kind() == io::ErrorKind::TimedOut,
            ExchangeError::Malformed(_) => false,
            ExchangeError::TimedOut => true,
        }
    }
}

impl From<Malformed> for ExchangeError {
    fn from(Malformed(reason): Malformed) -> Self {
        ExchangeError::Malformed(reason)
    }
}

/// Positions of a response's parts in the buffer that it was read into.
pub struct Response {
    pub head: Range<usize>,
    pub body: Range<usize>,
    /// Whether the complete response was read and the connection can serve another request.
    pub reusable: bool,
}

/// Fill level of a buffer, and position of the last response in it: interim responses, such as 100,
/// may precede it.
#[derive(Default)]
pub struct ReadProgress {
    pub start: usize,
    pub filled: usize,
}

/// Sends a request over the idle connection, if it is connected to `address`, or over a new one,
/// and keeps the connection if it can be reused. `response_timeout` starts at the first byte of the
/// response; the caller limits the time until then.
///
/// # Errors
/// No connection can be established, or there is no complete response.
pub async fn exchange(
    idle: &mut Option<Stream>,
    address: SocketAddr,
    request: &[u8],
    buffer: &mut [u8],
    response_timeout: Duration,
) -> Result<Response, ExchangeError> {
    let mut stream = match idle.take().filter(|stream| is_usable(stream, address)) {
        Some(stream) => stream,
        None => match until(Instant::now() + CONNECT_TIMEOUT, connect(address)).await {
            Some(connected) => connected?,
            None => return Err(ExchangeError::TimedOut),
        },
    };
    stream.write_all(request).await?;
    let mut progress = ReadProgress::default();
    let response = read_response(&mut stream, buffer, &mut progress, |_| response_timeout).await?;
    if response.reusable {
        *idle = Some(stream);
    }
    Ok(response)
}

fn is_usable(stream: &Stream, address: SocketAddr) -> bool {
    stream
        .get_ref()
        .peer_addr()
        .is_ok_and(|peer| peer == address)
        && is_open_without_data(stream)
}

/// Reads one response. `timeout` returns the time limit from the first byte on for a status, or for
/// 0 while the status is unknown. `progress` reports how much of the buffer is filled, also if the
/// read is cancelled.
///
/// # Errors
/// The connection ends first, or the bytes are not a response, are incomplete at the time limit or
/// do not fit the buffer.
pub async fn read_response(
    stream: &mut Stream,
    buffer: &mut [u8],
    progress: &mut ReadProgress,
    timeout: impl Fn(u16) -> Duration,
) -> Result<Response, ExchangeError> {
    const INCOMPLETE: ExchangeError =
        ExchangeError::Malformed("the response is incomplete at the time limit");
    loop {
        if progress.start > MAX_HEAD_BYTES {
            return Err(ExchangeError::Malformed(
                "the interim responses are too long",
            ));
        }
        while progress.filled == progress.start {
            read_more(stream, buffer, &mut progress.filled).await?;
        }
        let began = Instant::now();
        let status = read_status(stream, buffer, progress);
        let status = until(began + timeout(0), status)
            .await
            .unwrap_or(Err(INCOMPLETE))?;
        let response = read_one_response(stream, buffer, progress);
        let response = until(began + timeout(status), response)
            .await
            .unwrap_or(Err(INCOMPLETE))?;
        if let Some(response) = response {
            return Ok(response);
        }
    }
}

/// Reads the status of the response that begins at `progress.start`; 0 if its first line is not a
/// valid status line or is longer than a head may be.
async fn read_status(
    stream: &mut Stream,
    buffer: &mut [u8],
    progress: &mut ReadProgress,
) -> Result<u16, ExchangeError> {
    loop {
        let seen = &buffer[progress.start..progress.filled];
        if seen.contains(&b'\n') || seen.len() > MAX_HEAD_BYTES {
            return Ok(ResponseHead::status_in(seen).unwrap_or(0));
        }
        read_more(stream, buffer, &mut progress.filled).await?;
    }
}

/// Reads the response that begins at `progress.start`; `None` if it is an interim response.
async fn read_one_response(
    stream: &mut Stream,
    buffer: &mut [u8],
    progress: &mut ReadProgress,
) -> Result<Option<Response>, ExchangeError> {
    let head_end = read_head(stream, buffer, progress).await?;
    let head = progress.start..head_end;
    let ResponseHead {
        status,
        body,
        closes,
        ..
    } = ResponseHead::read(&buffer[head.clone()])?;
    if status < 200 {
        progress.start = head_end;
        return Ok(None);
    }
    let filled = &mut progress.filled;
    // End of the response in the buffer, and end of the decoded body.
    let (response_end, body_end) = match body {
        http1::Body::Length(length) => {
            let end = head_end.saturating_add(length as usize);
            if end > buffer.len() {
                return Err(ExchangeError::Malformed("the response is too long"));
            }
            while *filled < end {
                read_more(stream, buffer, filled).await?;
            }
            (end, end)
        }
        http1::Body::Chunked => {
            let mut chunks = ChunkedDecoder::default();
            let (mut read, mut written) = (head_end, head_end);
            while !chunks.decode(buffer, &mut read, &mut written, *filled)? {
                read_more(stream, buffer, filled).await?;
            }
            (read, written)
        }
        http1::Body::UntilClose => {
            read_to_end(stream, buffer, filled).await?;
            (head_end, *filled)
        }
    };
    let reusable = !closes && *filled == response_end;
    Ok(Some(Response {
        head,
        body: head_end..body_end,
        reusable,
    }))
}

/// Reads until the head is complete; returns its end position.
async fn read_head(
    stream: &mut Stream,
    buffer: &mut [u8],
    progress: &mut ReadProgress,
) -> Result<usize, ExchangeError> {
    let mut search = HeadSearch::default();
    loop {
        let seen = &buffer[progress.start..progress.filled];
        if let Some(length) = search.end(seen) {
            return Ok(progress.start + length);
        }
        // Bytes that are not a response are rejected at their first line.
        if seen.contains(&b'\n') && ResponseHead::status_in(seen).is_none() {
            return Err(ExchangeError::Malformed("the status line is invalid"));
        }
        if seen.len() > MAX_HEAD_BYTES {
            return Err(ExchangeError::Malformed("the response head is too long"));
        }
        read_more(stream, buffer, &mut progress.filled).await?;
    }
}

async fn read_to_end(
    stream: &mut Stream,
    buffer: &mut [u8],
    filled: &mut usize,
) -> Result<(), ExchangeError> {
    loop {
        match read_more(stream, buffer, filled).await {
            Ok(()) => (),
            Err(ExchangeError::Io(error)) if error.kind() == io::ErrorKind::UnexpectedEof => {
                return Ok(());
            }
            Err(error) => return Err(error),
        }
    }
}

async fn read_more(
    stream: &mut Stream,
    buffer: &mut [u8],
    filled: &mut usize,
) -> Result<(), ExchangeError> {
    if *filled == buffer.len() {
        return Err(ExchangeError::Malformed("the response is too long"));
    }
    let read = stream.read(&mut buffer[*filled..]).await?;
    *filled += read;
    if read == 0 {
        return Err(ExchangeError::Io(io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(())
}
