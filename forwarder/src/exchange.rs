//! One request and its answer over a connection of ours.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::rc::Rc;
use std::time::Instant;

use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plankhill_http1::{self as http1, Chunks, HeadSearch, ResponseHead};

pub type Stream = Async<TcpStream>;

/// The size of a buffer: a body of 64 KiB and its head.
pub const MESSAGE: usize = LONGEST_BODY + LONGEST_HEAD;
pub const LONGEST_BODY: usize = 64 * 1024;
pub const LONGEST_HEAD: usize = 8 * 1024;

/// The body of an event, in as many bytes as it has; calls share it with the event.
pub type Body = Rc<[u8]>;

pub async fn connect(to: SocketAddr) -> io::Result<Stream> {
    let stream = Stream::connect(to).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

/// None if the time is up first; what is ready at that moment still counts.
pub async fn until<T>(at: Instant, what: impl std::future::Future<Output = T>) -> Option<T> {
    future::or(async { Some(what.await) }, async {
        Timer::at(at).await;
        None
    })
    .await
}

/// What lies in the socket: None if nothing does, 0 bytes if the peer has closed its side or broken off.
fn lies_ready(stream: &Stream) -> Option<usize> {
    match stream.get_ref().peek(&mut [0]) {
        Ok(read) => Some(read),
        Err(e) => (e.kind() != io::ErrorKind::WouldBlock).then_some(0),
    }
}

/// Whether a connection that stands idle is still open and has nothing to say.
pub fn is_quiet(stream: &Stream) -> bool {
    lies_ready(stream).is_none()
}

/// Whether the peer has closed its side or broken off.
pub fn is_gone(stream: &Stream) -> bool {
    lies_ready(stream) == Some(0)
}

/// Where an answer's parts stand in the buffer that it was read into.
pub struct Answer {
    pub head: Range<usize>,
    pub body: Range<usize>,
    /// Whether all of it was read and the connection may serve another request.
    pub reusable: bool,
}

/// Asks over the connection kept, if it goes there, or a new one, and keeps it if it may serve again.
pub async fn ask(
    kept: &mut Option<Stream>,
    to: SocketAddr,
    request: &[u8],
    bytes: &mut [u8],
) -> io::Result<Answer> {
    let goes_there = |stream: &Stream| stream.get_ref().peer_addr().is_ok_and(|peer| peer == to);
    let mut stream = match kept.take().filter(|stream| goes_there(stream) && is_quiet(stream)) {
        Some(stream) => stream,
        None => connect(to).await?,
    };
    stream.write_all(request).await?;
    let answer = answer(&mut stream, bytes, &mut 0).await?;
    *kept = answer.reusable.then_some(stream);
    Ok(answer)
}

/// Reads one answer. `filled` says how far the buffer is filled, also if the reading is given up.
pub async fn answer(stream: &mut Stream, bytes: &mut [u8], filled: &mut usize) -> io::Result<Answer> {
    let broken = |e: http1::Malformed| io::Error::new(io::ErrorKind::InvalidData, e.0);
    let mut start = 0;
    let (from, body, closes) = loop {
        let mut search = HeadSearch::default();
        let end = loop {
            match search.end(&bytes[start..*filled]) {
                Some(end) => break start + end,
                None => more(stream, bytes, filled).await?,
            }
        };
        let head = ResponseHead::read(&bytes[start..end]).map_err(broken)?;
        if head.status >= 200 {
            break (end, head.body, head.closes);
        }
        start = end;
    };
    let head = start..from;
    match body {
        http1::Body::Length(length) => {
            let whole = from.saturating_add(length as usize);
            while *filled < whole {
                if *filled == bytes.len() {
                    return Ok(Answer { head, body: from..*filled, reusable: false });
                }
                more(stream, bytes, filled).await?;
            }
            Ok(Answer { head, body: from..whole, reusable: !closes && *filled == whole })
        }
        http1::Body::Chunked => {
            let (mut chunks, mut read, mut write) = (Chunks::default(), from, from);
            while !chunks.decode(bytes, &mut read, &mut write, *filled).map_err(broken)? {
                more(stream, bytes, filled).await?;
            }
            Ok(Answer { head, body: from..write, reusable: !closes && *filled == read })
        }
        http1::Body::UntilClose => loop {
            match more(stream, bytes, filled).await {
                Ok(()) => (),
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => {
                    return Ok(Answer { head, body: from..*filled, reusable: false })
                }
                Err(e) => return Err(e),
            }
        },
    }
}

async fn more(stream: &mut Stream, bytes: &mut [u8], filled: &mut usize) -> io::Result<()> {
    if *filled == bytes.len() {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the answer is too long"));
    }
    let read = stream.read(&mut bytes[*filled..]).await?;
    *filled += read;
    if read == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
