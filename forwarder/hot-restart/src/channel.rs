//! Messages over a Unix socket in the state folder. Each message is preceded by its length as a
//! little-endian 32-bit number, and may carry a file descriptor.

use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use async_io::Async;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};

use crate::messages::Message;

/// Name of the socket in the state folder.
const SOCKET_FILE_NAME: &str = "handover";
/// Longest path of a socket's address, with some reserve: the system's limit is 108 bytes (unix(7),
/// `sun_path`).
const MAX_SOCKET_PATH_BYTES: usize = 100;
/// Longest message, in bytes. The scheduler's state is bounded by its capacity and the endpoint list, a body
/// by its limit.
const MAX_MESSAGE_BYTES: usize = 256 << 20;
const LENGTH_BYTES: usize = 4;
const READ_CHUNK_BYTES: usize = 64 * 1024;
/// Descriptors that one read may receive. A descriptor is sent with the first byte of its message,
/// and one read never receives the descriptors of more than one message.
const MAX_DESCRIPTORS_PER_READ: usize = 4;

/// The address of the socket, for a folder path of any length.
struct SocketAddress {
    path: PathBuf,
    /// Keeps the folder open while `path` refers to its descriptor.
    _folder: Option<File>,
}

impl SocketAddress {
    fn in_folder(folder: &Path) -> io::Result<Self> {
        let path = folder.join(SOCKET_FILE_NAME);
        if path.as_os_str().len() <= MAX_SOCKET_PATH_BYTES {
            return Ok(SocketAddress {
                path,
                _folder: None,
            });
        }
        let opened = File::open(folder)?;
        let path = format!("/proc/self/fd/{}/{SOCKET_FILE_NAME}", opened.as_raw_fd()).into();
        Ok(SocketAddress {
            path,
            _folder: Some(opened),
        })
    }
}

/// Listens for successors. Only the process that holds the lock may call this: a socket that an
/// earlier process left behind is no longer in use, and is replaced.
///
/// # Errors
/// The socket cannot be replaced or bound.
pub fn bind(folder: &Path) -> io::Result<Async<UnixListener>> {
    let address = SocketAddress::in_folder(folder)?;
    match std::fs::remove_file(&address.path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => (),
    }
    Async::new(UnixListener::bind(&address.path)?)
}

/// Connects to the predecessor of the folder.
///
/// # Errors
/// No process listens there.
pub async fn connect(folder: &Path) -> io::Result<MessageSender> {
    let address = SocketAddress::in_folder(folder)?;
    Ok(MessageSender::new(
        Async::<UnixStream>::connect(&address.path).await?,
    ))
}

/// The sending side of a connection between the two processes; clones share the connection.
#[derive(Clone)]
pub struct MessageSender(Rc<Async<UnixStream>>);

impl MessageSender {
    /// Creates a sender over a connected socket.
    pub fn new(stream: Async<UnixStream>) -> Self {
        MessageSender(Rc::new(stream))
    }

    /// Sends one message with the descriptor that it carries, and closes the descriptor. The caller
    /// waits for one send to finish before it starts the next.
    ///
    /// # Errors
    /// The other process has ended.
    pub async fn send(&self, message: &Message, descriptor: Option<OwnedFd>) -> io::Result<()> {
        let encoded = rmp_serde::to_vec(message).map_err(io::Error::other)?;
        let mut bytes = (encoded.len() as u32).to_le_bytes().to_vec();
        bytes.extend_from_slice(&encoded);
        let mut written = 0;
        while written < bytes.len() {
            let with_first_byte = descriptor.as_ref().filter(|_| written == 0);
            let rest = &bytes[written..];
            written += self
                .0
                .write_with(|stream| send(stream, rest, with_first_byte))
                .await?;
        }
        Ok(())
    }

    /// The receiving side of the same connection.
    pub fn receiver(&self) -> MessageReceiver {
        MessageReceiver {
            stream: self.0.clone(),
            bytes: Vec::new(),
            descriptors: VecDeque::new(),
        }
    }
}

fn send(stream: &UnixStream, bytes: &[u8], descriptor: Option<&OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let descriptors = descriptor.map(|descriptor| [descriptor.as_fd()]);
    if let Some(descriptors) = &descriptors {
        ancillary.push(SendAncillaryMessage::ScmRights(descriptors));
    }
    let sent = sendmsg(
        stream,
        &[IoSlice::new(bytes)],
        &mut ancillary,
        SendFlags::NOSIGNAL,
    )?;
    Ok(sent)
}

/// The receiving side of a connection between the two processes.
pub struct MessageReceiver {
    stream: Rc<Async<UnixStream>>,
    bytes: Vec<u8>,
    /// Descriptors in the order of arrival; each message that carries one takes the first.
    descriptors: VecDeque<OwnedFd>,
}

impl MessageReceiver {
    /// The next message, and the descriptor that it carries.
    ///
    /// # Errors
    /// The other process has ended (`UnexpectedEof` or the socket's error), or sent bytes that are
    /// not a message, or a message without its descriptor (`InvalidData`).
    pub async fn receive(&mut self) -> io::Result<(Message, Option<OwnedFd>)> {
        loop {
            if let Some(message) = self.decode_next()? {
                let descriptor = self.descriptor_of(&message)?;
                return Ok((message, descriptor));
            }
            self.read_more().await?;
        }
    }

    fn descriptor_of(&mut self, message: &Message) -> io::Result<Option<OwnedFd>> {
        if !message.carries_descriptor() {
            return Ok(None);
        }
        match self.descriptors.pop_front() {
            Some(descriptor) => Ok(Some(descriptor)),
            None => Err(invalid_data("a descriptor is missing".into())),
        }
    }

    async fn read_more(&mut self) -> io::Result<()> {
        let filled = self.bytes.len();
        self.bytes.resize(filled + READ_CHUNK_BYTES, 0);
        let bytes = &mut self.bytes;
        let descriptors = &mut self.descriptors;
        let read = self
            .stream
            .read_with(|stream| receive(stream, &mut bytes[filled..], descriptors))
            .await;
        self.bytes.truncate(filled + *read.as_ref().unwrap_or(&0));
        if read? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    /// The next message, if it has arrived completely.
    fn decode_next(&mut self) -> io::Result<Option<Message>> {
        let Some(length) = self.bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let end = LENGTH_BYTES + u32::from_le_bytes(*length) as usize;
        if end > MAX_MESSAGE_BYTES {
            return Err(invalid_data("a message is too long".into()));
        }
        if self.bytes.len() < end {
            return Ok(None);
        }
        let message = rmp_serde::from_slice(&self.bytes[LENGTH_BYTES..end])
            .map_err(|error| invalid_data(error.to_string()))?;
        self.bytes.drain(..end);
        Ok(Some(message))
    }
}

fn invalid_data(reason: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

fn receive(
    stream: &UnixStream,
    bytes: &mut [u8],
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut space =
        [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_READ))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut slices = [IoSliceMut::new(bytes)];
    let received = recvmsg(stream, &mut slices, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            descriptors.extend(rights);
        }
    }
    Ok(received.bytes)
}
