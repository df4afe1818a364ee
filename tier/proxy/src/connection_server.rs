//! Serves the requests of one client connection, and closes it according to the connection policy.
//! Started by [`crate::listener`] for each connection.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use plankhill_protocol::transport::set_socket_options;
use tokio::net::TcpStream;

use crate::client_connection::{ClientConnection, ConnectionActivity};
use crate::lifecycle::{ConnectionPolicy, Lifecycle};
use crate::process::Proxy;
use crate::responder::respond;
use crate::snapshot::Snapshot;

/// Maximum size of a request head if there is no configuration, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 64 * 1024;
/// Minimum size of the buffer that the HTTP library accepts, in bytes.
const MIN_HEADER_BYTES: usize = 8 * 1024;
/// Idle timeout of client connections if there is no configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves a connection until it is closed by either side.
pub(crate) async fn serve_connection(proxy: Rc<Proxy>, stream: TcpStream) {
    if set_socket_options(&stream).is_err() {
        return;
    }
    let guard = proxy.lifecycle.begin_connection();
    let activity = ConnectionActivity::new(proxy.lifecycle.clone());
    let builder = http_builder(&proxy.snapshots.newest());
    let service = service_fn(|request| {
        let proxy = proxy.clone();
        let activity = activity.clone();
        async move { Ok::<_, Infallible>(respond(proxy, &activity, request).await) }
    });
    let stream = ClientConnection::new(stream, activity.clone());
    let mut connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut policy = proxy.lifecycle.connection_policy();
    let ended = tokio::select! {
        biased;
        _ = policy.wait_for(|policy| *policy == ConnectionPolicy::CloseAll) => return,
        ended = &mut connection => Some(ended),
        () = wait_idle_close(&proxy.lifecycle, &activity) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            tokio::select! {
                biased;
                _ = policy.wait_for(|policy| *policy == ConnectionPolicy::CloseAll) => return,
                ended = &mut connection => ended,
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "client connection failed");
    }
    let stream = connection.into_parts().io.into_inner();
    drop(guard);
    stream.close().await;
}

/// Returns when the policy requires a graceful shutdown of a connection that was open before the
/// policy changed: an idle connection closes at once, any other after the response in progress.
///
/// Never returns if the head of a request has arrived only in part when the policy changes, because
/// the HTTP library would drop that request: such a connection closes after its response, which has
/// `Connection: close`. A connection that is opened later closes after its first response.
async fn wait_idle_close(lifecycle: &Lifecycle, activity: &ConnectionActivity) {
    let mut policy = lifecycle.connection_policy();
    let is_old = *policy.borrow_and_update() < ConnectionPolicy::CloseIdle;
    // Never an error: the sender lives as long as the lifecycle.
    let _ = policy
        .wait_for(|policy| *policy >= ConnectionPolicy::CloseIdle)
        .await;
    if !is_old || activity.is_request_arriving() {
        std::future::pending::<()>().await;
    }
}

/// The HTTP library's timeout for reading a head also covers the idle time between two requests. A
/// later configuration may allow a longer idle time than the one at the start of the connection, so
/// the configured timeout is doubled.
fn http_builder(snapshot: &Snapshot) -> http1::Builder {
    let mut idle_timeout = DEFAULT_IDLE_TIMEOUT;
    let mut max_header_bytes = DEFAULT_MAX_HEADER_BYTES;
    if let Some(routes) = &snapshot.routes {
        let limits = routes.limits();
        idle_timeout = limits.idle_timeout.max(limits.header_timeout) * 2;
        max_header_bytes =
            usize::try_from(limits.max_header_bytes).unwrap_or(DEFAULT_MAX_HEADER_BYTES);
    }
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .auto_date_header(false)
        .max_header_size(max_header_bytes)
        .max_buf_size(max_header_bytes.max(MIN_HEADER_BYTES) * 2);
    builder
}
