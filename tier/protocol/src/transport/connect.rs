//! Opens connections to machines that may be starting at the moment.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Interval after which another attempt is started in parallel: the SYN packet of the previous
/// attempt may be lost, or may have been sent to a machine without power, and the operating system
/// retransmits it only after one second (RFC 6298, section 2.1).
const STAGGER_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of concurrent attempts.
const MAX_ATTEMPTS: usize = 5;

/// Connects to `address` with several staggered attempts and returns the first established
/// connection.
///
/// # Errors
/// The operating system's error for the first attempt that fails: the machine has answered, and
/// further attempts would fail in the same way.
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
