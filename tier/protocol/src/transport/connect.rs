//! Opens connections to machines that may just be coming up.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// An attempt that has not come up after this time is given company: its opening packet may be lost, or have
/// reached a machine without power, and the system sends it again only after a second.
const STAGGER: Duration = Duration::from_millis(150);
/// Attempts at once.
const MOST_ATTEMPTS: usize = 5;

/// Connects; the first of several attempts that comes up is taken.
///
/// # Errors
/// The operating system's, of the first attempt that fails: the machine answers then, and more of them would fail
/// alike.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut attempts = JoinSet::new();
    attempts.spawn(TcpStream::connect(address));
    loop {
        tokio::select! {
            Some(ended) = attempts.join_next() => return ended.map_err(io::Error::other)?,
            () = tokio::time::sleep(STAGGER), if attempts.len() < MOST_ATTEMPTS => {
                attempts.spawn(TcpStream::connect(address));
            }
        }
    }
}
