//! Accepts client connections, up to a maximum number. Started once by [`crate::run()`].

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::connection_server::serve_connection;
use crate::process::Proxy;

/// Delay after a failed accept (no file descriptor is left), during which open connections may end.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts connections forever, with at most `max_clients` open at once; further ones wait in the
/// operating system's queue.
pub async fn serve(proxy: Rc<Proxy>, listener: TcpListener, max_clients: usize) {
    let slots = Arc::new(Semaphore::new(max_clients));
    loop {
        // Never an error: the semaphore is not closed.
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let proxy = proxy.clone();
        tokio::task::spawn_local(async move {
            serve_connection(proxy, stream).await;
            drop(slot);
        });
    }
}
