//! A listener that bounds the connections open at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Most connections open at once on one listener; further ones are closed.
const MAX_CONNECTIONS: usize = 1_024;
/// The pause after a failed accept, in which other connections can end.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A listener and the connections that it has accepted.
pub(crate) struct LimitedListener {
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

/// A connection that counts against the limit until its permit is dropped.
pub(crate) struct AcceptedConnection {
    pub(crate) stream: TcpStream,
    pub(crate) address: SocketAddr,
    pub(crate) permit: OwnedSemaphorePermit,
}

impl LimitedListener {
    pub(crate) fn new(listener: TcpListener) -> Self {
        LimitedListener {
            listener,
            permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        }
    }

    /// The next connection within the limit; those beyond it are closed at once. Cancel-safe.
    pub(crate) async fn accept(&self) -> AcceptedConnection {
        loop {
            let Ok((stream, address)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            if let Ok(permit) = self.permits.clone().try_acquire_owned() {
                return AcceptedConnection {
                    stream,
                    address,
                    permit,
                };
            }
        }
    }
}
