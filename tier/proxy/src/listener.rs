//! Accepts clients' connections, within a bound on their number. Started once by [`crate::run()`].

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::connection_server::serve_connection;
use crate::process::Proxy;

/// After a failed accept (no descriptor is left), connections that are open get this time to end.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts for ever, with at most `max_clients` connections at once; further ones wait in the
/// system's queue.
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
