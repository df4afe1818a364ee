//! Reading of a request, head and body, into one buffer.

use std::ops::Range;
use std::time::Instant;

use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use plankhill_buffer_pool::PooledBuffer;
use plankhill_http1::{self as http1, ChunkedDecoder, HeadSearch, Malformed, RequestHead};

use super::connection::ClientConnection;
use super::request::{parse_head, PartialRequest, Request, RequestError};
use crate::stream::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

/// Maximum bytes of chunk sizes and chunk ends together: enough for the longest body in chunks of
/// one byte.
const MAX_CHUNK_FRAMING_BYTES: usize = 6 * MAX_BODY_BYTES;

const BODY_TOO_LONG: RequestError = RequestError::new(413, "the body is too long");
pub(super) const OUT_OF_BUFFERS: RequestError =
    RequestError::new(503, "no memory for more requests");

/// End of a head in its buffer, and the time at which its first byte arrived.
struct HeadEnd {
    end: usize,
    began: Instant,
}

/// Position of a decoded body in its buffer, and the start of the bytes after the request.
struct BodyEnd {
    body: Range<usize>,
    request_end: usize,
}

/// The client ended the connection before its request was complete.
struct Disconnected;

/// Reason for which a request is not complete.
enum Incomplete {
    Disconnected,
    Invalid(RequestError),
}

impl From<Disconnected> for Incomplete {
    fn from(_: Disconnected) -> Self {
        Incomplete::Disconnected
    }
}

impl From<RequestError> for Incomplete {
    fn from(error: RequestError) -> Self {
        Incomplete::Invalid(error)
    }
}

impl From<Malformed> for Incomplete {
    fn from(error: Malformed) -> Self {
        Incomplete::Invalid(error.into())
    }
}

impl ClientConnection {
    /// Reads one request; none if the client ends the connection instead.
    ///
    /// # Errors
    /// The request is malformed, too long or not served.
    pub(super) async fn read_request(
        &mut self,
        partial: PartialRequest,
    ) -> Result<Option<Request>, RequestError> {
        match self.read_complete_request(partial).await {
            Ok(request) => Ok(Some(request)),
            Err(Incomplete::Disconnected) => Ok(None),
            Err(Incomplete::Invalid(error)) => Err(error),
        }
    }

    async fn read_complete_request(
        &mut self,
        partial: PartialRequest,
    ) -> Result<Request, Incomplete> {
        let PartialRequest {
            mut buffer,
            mut filled,
        } = partial;
        let HeadEnd { end, began } = self.read_head(&mut buffer, &mut filled).await?;
        let head = RequestHead::read(&buffer[..end])?;
        let kind = parse_head(&head, &self.context.config)?;
        let framing = head.body;
        let closes = head.closes;
        if matches!(framing, http1::Body::Length(length) if length > MAX_BODY_BYTES as u64) {
            return Err(BODY_TOO_LONG.into());
        }
        if head.expects_continue && filled == end {
            let _ = self
                .stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await;
        }
        let BodyEnd { body, request_end } = self
            .read_body(&mut buffer, &mut filled, end, framing)
            .await?;
        self.keep_next_request(&buffer[request_end..filled])?;
        Ok(Request {
            kind,
            buffer,
            body,
            closes,
            began,
        })
    }

    async fn read_head(
        &mut self,
        buffer: &mut PooledBuffer,
        filled: &mut usize,
    ) -> Result<HeadEnd, Incomplete> {
        let mut search = HeadSearch::default();
        let mut skipped = 0;
        // The beginning of the request may have arrived with the end of the previous one.
        let mut began = self.last_read;
        loop {
            // Empty lines before a request are skipped (RFC 9112, section 2.2).
            let empty_lines = http1::leading_empty_line_bytes(&buffer[..*filled]);
            if empty_lines > 0 {
                buffer.copy_within(empty_lines..*filled, 0);
                *filled -= empty_lines;
                skipped += empty_lines;
                search = HeadSearch::default();
            }
            let end = search.end(&buffer[..*filled]);
            if skipped + end.unwrap_or(*filled) > MAX_HEAD_BYTES {
                return Err(RequestError::new(400, "the head is too long").into());
            }
            if let Some(end) = end {
                return Ok(HeadEnd { end, began });
            }
            let is_first_read = *filled == 0;
            self.read_more(buffer, filled).await?;
            if is_first_read {
                began = self.last_read;
            }
        }
    }

    async fn read_body(
        &mut self,
        buffer: &mut PooledBuffer,
        filled: &mut usize,
        start: usize,
        framing: http1::Body,
    ) -> Result<BodyEnd, Incomplete> {
        match framing {
            http1::Body::Length(length) => {
                self.read_sized_body(buffer, filled, start, length as usize)
                    .await
            }
            _ => self.read_chunked_body(buffer, filled, start).await,
        }
    }

    async fn read_sized_body(
        &mut self,
        buffer: &mut PooledBuffer,
        filled: &mut usize,
        start: usize,
        length: usize,
    ) -> Result<BodyEnd, Incomplete> {
        let end = start + length;
        while *filled < end {
            if *filled == buffer.len() {
                return Err(BODY_TOO_LONG.into());
            }
            self.read_more(buffer, filled).await?;
        }
        Ok(BodyEnd {
            body: start..end,
            request_end: end,
        })
    }

    /// Decodes the chunks in place; removing the decoded framing frees space for more bytes.
    async fn read_chunked_body(
        &mut self,
        buffer: &mut PooledBuffer,
        filled: &mut usize,
        start: usize,
    ) -> Result<BodyEnd, Incomplete> {
        let mut chunks = ChunkedDecoder::default();
        let mut read = start;
        let mut written = start;
        let mut framing_bytes = 0;
        loop {
            let complete = chunks.decode(buffer, &mut read, &mut written, *filled)?;
            if written - start > MAX_BODY_BYTES {
                return Err(BODY_TOO_LONG.into());
            }
            if complete {
                return Ok(BodyEnd {
                    body: start..written,
                    request_end: read,
                });
            }
            buffer.copy_within(read..*filled, written);
            framing_bytes += read - written;
            *filled -= read - written;
            read = written;
            if *filled == buffer.len() || framing_bytes > MAX_CHUNK_FRAMING_BYTES {
                return Err(BODY_TOO_LONG.into());
            }
            self.read_more(buffer, filled).await?;
        }
    }

    /// Keeps bytes after a request as the beginning of the next.
    fn keep_next_request(&mut self, behind: &[u8]) -> Result<(), RequestError> {
        if !http1::may_be_request(&behind[http1::leading_empty_line_bytes(behind)..]) {
            return Err(RequestError::new(400, "the body is longer than its length"));
        }
        if behind.is_empty() {
            return Ok(());
        }
        let mut next = self.new_partial_request().ok_or(OUT_OF_BUFFERS)?;
        next.filled = behind.len();
        next.buffer[..behind.len()].copy_from_slice(behind);
        self.next_request = Some(next);
        Ok(())
    }

    async fn read_more(
        &mut self,
        buffer: &mut PooledBuffer,
        filled: &mut usize,
    ) -> Result<(), Disconnected> {
        if *filled > 0 {
            // Without the yield, a client whose bytes arrive as fast as they are read would block
            // the other connections and its own timeout.
            future::yield_now().await;
        }
        let read = self.stream.read(&mut buffer[*filled..]).await.unwrap_or(0);
        *filled += read;
        self.last_read = self.readable_since.take().unwrap_or_else(Instant::now);
        if read == 0 {
            return Err(Disconnected);
        }
        Ok(())
    }
}
