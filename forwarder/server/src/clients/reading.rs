//! Reads a request, head and body, into one buffer.

use std::time::Instant;

use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plankhill_buffer_pool::Buffer;
use plankhill_http1::{self as http1, Chunks, HeadSearch, RequestHead};

use super::client::Client;
use super::request::{read_fields, Begun, Refusal, Request};
use crate::exchange::{LONGEST_BODY, LONGEST_HEAD};

/// The sizes and ends of chunks together: those of the longest body in chunks of one byte fit.
const MOST_FRAMING: usize = 6 * LONGEST_BODY;

const TOO_LONG: Refusal = Refusal(413, "the body is too long");

impl Client {
    /// Reads one request; None if the client ends the connection instead.
    pub(super) async fn read(&mut self, begun: Begun) -> Result<Option<Request>, Refusal> {
        let Begun {
            mut buffer,
            mut filled,
        } = begun;
        let mut search = HeadSearch::default();
        let mut empty = 0;
        // What it begins with came with the end of the request before.
        let mut since = self.came;
        let end = loop {
            // Empty lines before a request are passed over.
            let lines = http1::empty_lines(&buffer[..filled]);
            if lines > 0 {
                buffer.copy_within(lines..filled, 0);
                filled -= lines;
                empty += lines;
                search = HeadSearch::default();
            }
            let end = search.end(&buffer[..filled]);
            if empty + end.unwrap_or(filled) > LONGEST_HEAD {
                return Err(Refusal(400, "the head is too long"));
            }
            match end {
                Some(end) => break end,
                None => {
                    let first = filled == 0;
                    if !self.more(&mut buffer, &mut filled).await {
                        return Ok(None);
                    }
                    if first {
                        since = self.came;
                    }
                }
            }
        };
        let head = RequestHead::read(&buffer[..end])?;
        let asked = read_fields(&head, &self.common.told)?;
        let (body, closes) = (head.body, head.closes);
        if matches!(body, http1::Body::Length(length) if length > LONGEST_BODY as u64) {
            return Err(TOO_LONG);
        }
        if head.expects_continue && filled == end {
            let _ = self
                .stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await;
        }
        let (mut chunks, mut read, mut write) = (Chunks::default(), end, end);
        let mut framing = 0;
        loop {
            let whole = match body {
                http1::Body::Length(length) => {
                    (read, write) = (end + length as usize, end + length as usize);
                    filled >= write
                }
                _ => chunks.decode(&mut buffer, &mut read, &mut write, filled)?,
            };
            if write - end > LONGEST_BODY {
                return Err(TOO_LONG);
            }
            if whole {
                break;
            }
            if body == http1::Body::Chunked {
                // What was decoded makes room.
                buffer.copy_within(read..filled, write);
                framing += read - write;
                (filled, read) = (filled - (read - write), write);
            }
            if filled == buffer.len() || framing > MOST_FRAMING {
                return Err(TOO_LONG);
            }
            if !self.more(&mut buffer, &mut filled).await {
                return Ok(None);
            }
        }
        let behind = &buffer[read..filled];
        if !http1::may_begin(&behind[http1::empty_lines(behind)..]) {
            return Err(Refusal(400, "the body is longer than its length"));
        }
        if filled > read {
            let mut next = self
                .fresh()
                .ok_or(Refusal(503, "no memory for more requests"))?;
            next.filled = filled - read;
            next.buffer[..next.filled].copy_from_slice(&buffer[read..filled]);
            self.begun = Some(next);
        }
        Ok(Some(Request {
            asked,
            buffer,
            body: end..write,
            closes,
            since,
        }))
    }

    async fn more(&mut self, buffer: &mut Buffer, filled: &mut usize) -> bool {
        if *filled > 0 {
            // What comes as fast as it is read never lets the others have their turn, nor the time be up.
            future::yield_now().await;
        }
        let read = self.stream.read(&mut buffer[*filled..]).await.unwrap_or(0);
        *filled += read;
        self.came = self.ready.take().unwrap_or_else(Instant::now);
        read > 0
    }
}
