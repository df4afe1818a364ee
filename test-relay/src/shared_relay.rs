//! A relay with a separate link for each sender.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::link::Link;
use crate::listener::ThreadedListener;

/// Maximum size of the first message of a connection, which identifies the sender.
const MAX_GREETING_BYTES: usize = 512;
/// A connection whose sender is not identified within this time is forwarded over the link with the
/// empty name.
const GREETING_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks for received bytes.
const PEEK_INTERVAL: Duration = Duration::from_millis(1);

/// Identifies the sender from the first bytes of a connection; returns `None` if more bytes are
/// needed.
pub type SenderOf = fn(&[u8]) -> Option<String>;

type Links = Mutex<BTreeMap<String, Arc<Link>>>;

/// Listens at the advertised address of a process, and forwards connections to the address at which
/// the process listens.
pub struct SharedRelay {
    to: SocketAddr,
    links: Arc<Links>,
    _listener: ThreadedListener,
}

impl SharedRelay {
    /// Starts a relay from the address `at` to the address `to`.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound, for example if it is in use.
    pub fn bind(at: SocketAddr, to: SocketAddr, sender_of: SenderOf) -> io::Result<Self> {
        let links: Arc<Links> = Arc::default();
        let shared_links = Arc::clone(&links);
        let listener = ThreadedListener::bind(at, move |stream| {
            let sender = identify_sender(&stream, sender_of);
            link_of(&shared_links, &sender, to).forward(stream);
        })?;
        Ok(Self {
            to,
            links,
            _listener: listener,
        })
    }

    /// Returns the link of a sender, and creates it if the sender has not connected yet.
    pub fn link(&self, sender: &str) -> Arc<Link> {
        link_of(&self.links, sender, self.to)
    }

    /// Returns all links: of senders that have connected, and those created by [`SharedRelay::link`].
    pub fn links(&self) -> Vec<Arc<Link>> {
        lock(&self.links).values().cloned().collect()
    }
}

impl Drop for SharedRelay {
    fn drop(&mut self) {
        for link in self.links() {
            link.close();
        }
    }
}

fn link_of(links: &Links, sender: &str, to: SocketAddr) -> Arc<Link> {
    let mut links = lock(links);
    let link = links
        .entry(sender.to_owned())
        .or_insert_with(|| Arc::new(Link::new(to)));
    Arc::clone(link)
}

fn lock(links: &Links) -> MutexGuard<'_, BTreeMap<String, Arc<Link>>> {
    links
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Peeks at the first bytes of a connection to identify its sender; the empty name if that fails.
fn identify_sender(stream: &TcpStream, sender_of: SenderOf) -> String {
    let began = Instant::now();
    let mut bytes = [0; MAX_GREETING_BYTES];
    while began.elapsed() < GREETING_TIMEOUT {
        let Ok(read) = stream.peek(&mut bytes) else {
            break;
        };
        if let Some(sender) = sender_of(&bytes[..read]) {
            return sender;
        }
        if read == 0 {
            break;
        }
        thread::sleep(PEEK_INTERVAL);
    }
    String::new()
}
