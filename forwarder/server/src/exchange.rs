//! One request and its answer over a connection of ours.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

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

/// A dial that takes longer is given up: a packet that was lost is sent again after a second, then after two, four and
/// eight, and a discovery that is back would be reached only then.
const DIAL: Duration = Duration::from_millis(1_000);

/// Asks over the connection kept, if it goes there, or a new one, and keeps it if it may serve again. The answer is
/// whole so long after its first byte; for that byte whoever asks has a limit of its own.
pub async fn ask(
    kept: &mut Option<Stream>,
    to: SocketAddr,
    request: &[u8],
    bytes: &mut [u8],
    whole: Duration,
) -> io::Result<Answer> {
    let goes_there = |stream: &Stream| stream.get_ref().peer_addr().is_ok_and(|peer| peer == to);
    let mut stream = match kept
        .take()
        .filter(|stream| goes_there(stream) && is_quiet(stream))
    {
        Some(stream) => stream,
        None => {
            let dialled = until(Instant::now() + DIAL, connect(to)).await;
            dialled.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?
        }
    };
    stream.write_all(request).await?;
    let answer = answer(&mut stream, bytes, &mut Came::default(), |_| whole).await?;
    *kept = answer.reusable.then_some(stream);
    Ok(answer)
}

/// An answer whose first byte has come is whole soon after, or never: many times what a body of 64 KiB takes.
pub const ANSWERING: Duration = Duration::from_millis(250);

/// How much came, and where in it the last answer begins: others, such as 100, may go ahead of it.
#[derive(Default)]
pub struct Came {
    pub start: usize,
    pub filled: usize,
}

/// Of an answer that says 200 nothing else is to be learnt: only whether its connection may serve again.
pub const SETTLING: Duration = Duration::from_millis(50);

/// Reads one answer, which has so long from its first byte as `answering` gives to its status, or to 0 until
/// that has come; what can't be read, doesn't end or doesn't fit is invalid data. `came` says how far the
/// buffer is filled, also if the reading is given up.
pub async fn answer(
    stream: &mut Stream,
    bytes: &mut [u8],
    came: &mut Came,
    answering: impl Fn(u16) -> Duration,
) -> io::Result<Answer> {
    loop {
        if came.start > LONGEST_HEAD {
            return Err(invalid("too many answers go ahead"));
        }
        while came.filled == came.start {
            more(stream, bytes, &mut came.filled).await?;
        }
        let (began, late) = (Instant::now(), || invalid("the answer does not end"));
        let status = until(began + answering(0), first_line(stream, bytes, came)).await;
        let status = status.unwrap_or_else(|| Err(late()))?;
        let whole = until(began + answering(status), one_answer(stream, bytes, came)).await;
        match whole.unwrap_or_else(|| Err(late()))? {
            Some(answer) => return Ok(answer),
            None => continue,
        }
    }
}

fn invalid(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// The status of the answer that begins at `came.start`; 0 if its first line is none, or as long as a head.
async fn first_line(stream: &mut Stream, bytes: &mut [u8], came: &mut Came) -> io::Result<u16> {
    loop {
        let seen = &bytes[came.start..came.filled];
        if seen.contains(&b'\n') || seen.len() > LONGEST_HEAD {
            return Ok(ResponseHead::status_in(seen).unwrap_or(0));
        }
        more(stream, bytes, &mut came.filled).await?;
    }
}

/// Reads what begins at `came.start`; None if it is only one that goes ahead.
async fn one_answer(
    stream: &mut Stream,
    bytes: &mut [u8],
    came: &mut Came,
) -> io::Result<Option<Answer>> {
    let broken = |http1::Malformed(what)| invalid(what);
    let Came { start, filled } = came;
    let mut search = HeadSearch::default();
    let end = loop {
        let seen = &bytes[*start..*filled];
        match search.end(seen) {
            Some(end) => break *start + end,
            // Noise is known by its first line.
            None if seen.contains(&b'\n') && ResponseHead::status_in(seen).is_none() => {
                return Err(invalid("the first line is none"));
            }
            None if seen.len() > LONGEST_HEAD => return Err(invalid("the head is too long")),
            None => more(stream, bytes, filled).await?,
        }
    };
    let ResponseHead {
        status,
        body,
        closes,
        ..
    } = ResponseHead::read(&bytes[*start..end]).map_err(broken)?;
    if status < 200 {
        *start = end;
        return Ok(None);
    }
    let (mut read, mut write) = (end, end);
    match body {
        http1::Body::Length(length) => {
            write = end.saturating_add(length as usize);
            if write > bytes.len() {
                return Err(invalid("the answer is too long"));
            }
            while *filled < write {
                more(stream, bytes, filled).await?;
            }
            read = write;
        }
        http1::Body::Chunked => {
            let mut chunks = Chunks::default();
            while !chunks
                .decode(bytes, &mut read, &mut write, *filled)
                .map_err(broken)?
            {
                more(stream, bytes, filled).await?;
            }
        }
        http1::Body::UntilClose => {
            loop {
                match more(stream, bytes, filled).await {
                    Ok(()) => (),
                    Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => break,
                    Err(e) => return Err(e),
                }
            }
            write = *filled;
        }
    }
    Ok(Some(Answer {
        head: *start..end,
        body: end..write,
        reusable: !closes && *filled == read,
    }))
}

async fn more(stream: &mut Stream, bytes: &mut [u8], filled: &mut usize) -> io::Result<()> {
    if *filled == bytes.len() {
        return Err(invalid("the answer is too long"));
    }
    let read = stream.read(&mut bytes[*filled..]).await?;
    *filled += read;
    if read == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
