//! Opens connections to machines that may just be coming up.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// An attempt that has not come up after this time gets company: its opening packet may be lost, or
/// have reached a machine without power, and the operating system sends it again only after a
/// second (RFC 6298, section 2.1).
const STAGGER_INTERVAL: Duration = Duration::from_millis(150);
/// Most attempts at once.
const MAX_ATTEMPTS: usize = 5;

/// Connects to `address` by several attempts; the first one that comes up is taken.
///
/// # Errors
/// The operating system's, of the first attempt that fails: the machine answers then, and further
/// attempts would fail alike.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut attempts = JoinSet::new();
    attempts.spawn(TcpStream::connect(address));
    loop {
        tokio::select! {
            Some(ended) = attempts.join_next() => return ended.map_err(io::Error::other)?,
            () = tokio::time::sleep(STAGGER_INTERVAL), if attempts.len() < MAX_ATTEMPTS => {
                attempts.spawn(TcpStream::connect(address));
            }
        }
    }
}
