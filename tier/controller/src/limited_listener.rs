//! A listener that limits the number of open connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of open connections per listener; excess connections are closed.
const MAX_CONNECTIONS: usize = 1_024;
/// Delay after a failed accept, during which open connections can end and free resources.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// A listener and the permits for its connections.
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

    /// Accepts the next connection within the limit; excess connections are closed immediately.
    /// Cancel-safe.
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
