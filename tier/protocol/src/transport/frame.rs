//! Frames: a 4-byte little-endian length, followed by a `postcard` message of that many bytes. One
//! reader or writer owns each half of a connection.

use std::io;

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::decode::decode;
use super::{TransportError, MAX_FRAME_BYTES};

/// Size of the length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;
/// Capacity of the read buffer, in bytes. Most frames are small; large ones bypass the buffer.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Size in bytes at which a batch of frames is written; its last frame may exceed the size.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Maximum capacity, in bytes, of a frame's buffer that is reused for the next frame.
const MAX_REUSED_BUFFER_BYTES: usize = 64 * 1024;

/// The incoming half of a connection.
pub struct FrameReader<R = OwnedReadHalf> {
    stream: BufReader<R>,
    buffer: Vec<u8>,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader of the frames in `stream`.
    pub fn new(stream: R) -> Self {
        FrameReader {
            stream: BufReader::with_capacity(READ_BUFFER_BYTES, stream),
            buffer: Vec::new(),
        }
    }

    /// Reads the next message. Not cancel-safe: a dropped future may have consumed part of a frame.
    ///
    /// # Errors
    /// [`TransportError`] if the connection ends or the frame is not a valid `T`; the connection
    /// cannot be used afterwards.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<T, TransportError> {
        let length = self.stream.read_u32_le().await? as usize;
        if length > MAX_FRAME_BYTES {
            return Err(TransportError::FrameTooLong(length));
        }
        self.buffer.clear();
        let received = (&mut self.stream)
            .take(length as u64)
            .read_to_end(&mut self.buffer)
            .await?;
        if received < length {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        let message = decode(&self.buffer)?;
        if self.buffer.capacity() > MAX_REUSED_BUFFER_BYTES {
            self.buffer = Vec::new();
        }
        Ok(message)
    }

    /// Reads the next message and returns it with the reader. A task that also waits for other
    /// events keeps the returned future until it is ready, and thus never drops the future in the
    /// middle of a frame.
    pub async fn into_next<T: DeserializeOwned>(mut self) -> (Self, Result<T, TransportError>) {
        let message = self.next().await;
        (self, message)
    }
}

/// The outgoing half of a connection.
pub struct FrameWriter<W = OwnedWriteHalf> {
    stream: W,
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Creates a writer of frames to `stream`.
    pub fn new(stream: W) -> Self {
        FrameWriter { stream }
    }

    /// Sends a message.
    ///
    /// # Errors
    /// [`TransportError`] if a message cannot be encoded, is too long, or the connection ends; the
    /// connection cannot be used afterwards.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), TransportError> {
        let mut batch = FrameBatch::default();
        batch.push(message)?;
        self.write(batch).await
    }

    /// Sends several messages, with as few writes as the size of a batch allows.
    ///
    /// # Errors
    /// [`TransportError`] if a message cannot be encoded, is too long, or the connection ends; the
    /// connection cannot be used afterwards.
    pub async fn send_all<T: Serialize>(&mut self, messages: &[T]) -> Result<(), TransportError> {
        let mut batch = FrameBatch::default();
        for message in messages {
            batch.push(message)?;
            if batch.is_full() {
                self.write(std::mem::take(&mut batch)).await?;
            }
        }
        self.write(batch).await
    }

    /// Sends the frames of a batch in one write.
    ///
    /// # Errors
    /// [`TransportError`] if the connection ends.
    pub(super) async fn write(&mut self, batch: FrameBatch) -> Result<(), TransportError> {
        Ok(self.stream.write_all(&batch.frames).await?)
    }
}

/// Encoded messages that are sent in one write.
#[derive(Default)]
pub(super) struct FrameBatch {
    frames: Vec<u8>,
}

impl FrameBatch {
    /// Appends the frame of a message.
    ///
    /// # Errors
    /// [`TransportError`] if the message cannot be encoded or is too long; the batch cannot be used afterwards.
    pub(super) fn push<T: Serialize>(&mut self, message: &T) -> Result<(), TransportError> {
        let start = self.frames.len();
        let body = start + LENGTH_BYTES;
        let mut frames = std::mem::take(&mut self.frames);
        frames.resize(body, 0);
        frames = postcard::to_extend(message, frames)?;
        let length = frames.len() - body;
        if length > MAX_FRAME_BYTES {
            return Err(TransportError::FrameTooLong(length));
        }
        frames[start..body].copy_from_slice(&(length as u32).to_le_bytes());
        self.frames = frames;
        Ok(())
    }

    /// Whether the batch has to be written before another message is added.
    pub(super) fn is_full(&self) -> bool {
        self.frames.len() >= MAX_BATCH_BYTES
    }
}
