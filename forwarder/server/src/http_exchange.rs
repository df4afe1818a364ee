//! One HTTP/1.1 request and its response over a connection of ours. Used by calls to targets, the endpoint watch and
//! the notifier; the parsing is in `plankhill_http1`.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, AsyncWriteExt};
use plankhill_http1::{self as http1, Chunks, HeadSearch, Malformed, ResponseHead};

use crate::stream::{connect, is_quiet, until, Stream, MAX_HEAD_BYTES};

/// A connect that takes longer is given up: the system repeats a lost packet after one second, then after two, four and
/// eight, and a discovery that is back would be reached only then.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// From a response's first byte to its last: many times what a body of 64 KiB takes.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// The same for a response with status 200, whose rest says only whether its connection may serve again.
pub const DELIVERED_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection cannot be made, or broke off.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer's bytes are no response, do not end in time, or do not fit.
    #[error("{0}")]
    Malformed(&'static str),
    /// No connection or no response in time.
    #[error("timed out")]
    TimedOut,
}

impl ExchangeError {
    /// Whether the peer was silent, and has not refused.
    pub fn is_timeout(&self) -> bool {
        match self {
            ExchangeError::Io(error) => error.kind() == io::ErrorKind::TimedOut,
            ExchangeError::Malformed(_) => false,
            ExchangeError::TimedOut => true,
        }
    }
}

impl From<Malformed> for ExchangeError {
    fn from(Malformed(what): Malformed) -> Self {
        ExchangeError::Malformed(what)
    }
}

/// Where a response's parts stand in the buffer that it was read into.
pub struct Response {
    pub head: Range<usize>,
    pub body: Range<usize>,
    /// Whether all of the response was read and the connection may serve another request.
    pub reusable: bool,
}

/// How much of a buffer is filled, and where in it the last response begins: interim ones, such as 100, may go ahead.
#[derive(Default)]
pub struct ReadProgress {
    pub start: usize,
    pub filled: usize,
}

/// Sends a request over the idle connection, if it goes to `address`, or over a new one, and keeps the connection if it
/// may serve again. `response_timeout` is from the response's first byte; the caller limits the time until then.
///
/// # Errors
/// There is no connection, or no complete response.
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
        && is_quiet(stream)
}

/// Reads one response. `timeout` gives the time from the first byte on for a status, or for 0 until the status is
/// known. `progress` says how far the buffer is filled, also if the reading is given up.
///
/// # Errors
/// The connection ends first, or the bytes are no response, do not end in time or do not fit the buffer.
pub async fn read_response(
    stream: &mut Stream,
    buffer: &mut [u8],
    progress: &mut ReadProgress,
    timeout: impl Fn(u16) -> Duration,
) -> Result<Response, ExchangeError> {
    const UNFINISHED: ExchangeError = ExchangeError::Malformed("the answer does not end");
    loop {
        if progress.start > MAX_HEAD_BYTES {
            return Err(ExchangeError::Malformed("too many answers go ahead"));
        }
        while progress.filled == progress.start {
            read_more(stream, buffer, &mut progress.filled).await?;
        }
        let began = Instant::now();
        let status = read_status(stream, buffer, progress);
        let status = until(began + timeout(0), status)
            .await
            .unwrap_or(Err(UNFINISHED))?;
        let response = read_one_response(stream, buffer, progress);
        let response = until(began + timeout(status), response)
            .await
            .unwrap_or(Err(UNFINISHED))?;
        if let Some(response) = response {
            return Ok(response);
        }
    }
}

/// The status of the response that begins at `progress.start`; 0 if its first line is none, or as long as a head.
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

/// Reads the response that begins at `progress.start`; none if it is an interim one.
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
    // Where the next response would begin, and where the decoded body ends.
    let (response_end, body_end) = match body {
        http1::Body::Length(length) => {
            let end = head_end.saturating_add(length as usize);
            if end > buffer.len() {
                return Err(ExchangeError::Malformed("the answer is too long"));
            }
            while *filled < end {
                read_more(stream, buffer, filled).await?;
            }
            (end, end)
        }
        http1::Body::Chunked => {
            let mut chunks = Chunks::default();
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

/// Reads until the head is complete; returns where it ends.
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
        // Bytes that are no response are known by their first line.
        if seen.contains(&b'\n') && ResponseHead::status_in(seen).is_none() {
            return Err(ExchangeError::Malformed("the first line is none"));
        }
        if seen.len() > MAX_HEAD_BYTES {
            return Err(ExchangeError::Malformed("the head is too long"));
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
        return Err(ExchangeError::Malformed("the answer is too long"));
    }
    let read = stream.read(&mut buffer[*filled..]).await?;
    *filled += read;
    if read == 0 {
        return Err(ExchangeError::Io(io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(())
}
