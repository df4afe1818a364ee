//! Words over a Unix socket: each has its length before it, and may have a descriptor with it.

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

use crate::words::Word;

const FILE: &str = "handover";
/// The longest path that an address of a Unix socket takes, less some.
const LONGEST_PATH: usize = 100;
/// A word is shorter: the module's state is bounded by the room and the list, a body by its length.
const LONGEST: usize = 256 << 20;
const READ_AT_ONCE: usize = 64 * 1024;
/// A descriptor goes with the first byte of its word; one reading never meets more than one message's.
const TOGETHER: usize = 4;

/// The path of the socket, however long the folder's is, with what it needs to stay open.
fn path(folder: &Path) -> io::Result<(PathBuf, Option<File>)> {
    let plain = folder.join(FILE);
    if plain.as_os_str().len() <= LONGEST_PATH {
        return Ok((plain, None));
    }
    let opened = File::open(folder)?;
    Ok((
        format!("/proc/self/fd/{}/{FILE}", opened.as_raw_fd()).into(),
        Some(opened),
    ))
}

/// Only for the process that holds the lock: what another left there is not in use any more.
pub fn bind(folder: &Path) -> io::Result<Async<UnixListener>> {
    let (path, _opened) = path(folder)?;
    match std::fs::remove_file(&path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => (),
    }
    Async::new(UnixListener::bind(path)?)
}

pub async fn connect(folder: &Path) -> io::Result<Passage> {
    let (path, _opened) = path(folder)?;
    Ok(Passage::new(Async::<UnixStream>::connect(path).await?))
}

#[derive(Clone)]
pub struct Passage(Rc<Async<UnixStream>>);

impl Passage {
    pub fn new(stream: Async<UnixStream>) -> Self {
        Passage(Rc::new(stream))
    }

    /// One word at a time: whoever tells waits for its end before the next. The descriptor is closed here.
    pub async fn tell(&self, word: &Word, descriptor: Option<OwnedFd>) -> io::Result<()> {
        let said = rmp_serde::to_vec(word).map_err(io::Error::other)?;
        let mut bytes = (said.len() as u32).to_le_bytes().to_vec();
        bytes.extend_from_slice(&said);
        let mut written = 0;
        while written < bytes.len() {
            let with = descriptor.as_ref().filter(|_| written == 0);
            written += self
                .0
                .write_with(|stream| send(stream, &bytes[written..], with))
                .await?;
        }
        Ok(())
    }

    pub fn ears(&self) -> Ears {
        Ears {
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
    Ok(sendmsg(
        stream,
        &[IoSlice::new(bytes)],
        &mut ancillary,
        SendFlags::NOSIGNAL,
    )?)
}

pub struct Ears {
    stream: Rc<Async<UnixStream>>,
    bytes: Vec<u8>,
    /// In the order in which they came; each word that has one takes the first.
    descriptors: VecDeque<OwnedFd>,
}

impl Ears {
    /// The next word, and its descriptor if it has one; an error once the other has gone.
    pub async fn next(&mut self) -> io::Result<(Word, Option<OwnedFd>)> {
        loop {
            if let Some(word) = self.word()? {
                let has = matches!(
                    word,
                    Word::State(_) | Word::Yours | Word::Client { .. } | Word::Idle { .. }
                );
                let descriptor = if has {
                    self.descriptors.pop_front()
                } else {
                    None
                };
                if has && descriptor.is_none() {
                    return Err(io::Error::new(
                        io::ErrorKind::InvalidData,
                        "a descriptor is missing",
                    ));
                }
                return Ok((word, descriptor));
            }
            let filled = self.bytes.len();
            self.bytes.resize(filled + READ_AT_ONCE, 0);
            let (bytes, descriptors) = (&mut self.bytes, &mut self.descriptors);
            let read = self
                .stream
                .read_with(|stream| receive(stream, &mut bytes[filled..], descriptors))
                .await;
            self.bytes.truncate(filled + *read.as_ref().unwrap_or(&0));
            if read? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn word(&mut self) -> io::Result<Option<Word>> {
        let bad = |what: String| io::Error::new(io::ErrorKind::InvalidData, what);
        let Some(length) = self.bytes.first_chunk::<4>() else {
            return Ok(None);
        };
        let end = 4 + u32::from_le_bytes(*length) as usize;
        if end > LONGEST {
            return Err(bad("a word is too long".into()));
        }
        if self.bytes.len() < end {
            return Ok(None);
        }
        let word = rmp_serde::from_slice(&self.bytes[4..end]).map_err(|e| bad(e.to_string()))?;
        self.bytes.drain(..end);
        Ok(Some(word))
    }
}

fn receive(
    stream: &UnixStream,
    bytes: &mut [u8],
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(TOGETHER))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let came = recvmsg(
        stream,
        &mut [IoSliceMut::new(bytes)],
        &mut ancillary,
        RecvFlags::CMSG_CLOEXEC,
    )?;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            descriptors.extend(rights);
        }
    }
    Ok(came.bytes)
}
