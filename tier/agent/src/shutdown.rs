//! Graceful shutdown of the agent: the proxy on the same machine receives updates while it drains,
//! then the edge is deregistered.

use std::time::Duration;

use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::subscription::Subscription;
use tokio::sync::watch;
use tokio::time::timeout;

/// The part of the grace period that is reserved for the last message and for scheduling delays.
const GRACE_RESERVE: Duration = Duration::from_millis(1_000);
/// Timeout for writing the last message to the socket.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits until no proxy is connected or the grace period, less [`GRACE_RESERVE`], has elapsed; then
/// deregisters the edge.
pub(crate) async fn shut_down(
    subscription: &Subscription,
    mut connected_proxies: watch::Receiver<usize>,
    grace: Duration,
) {
    let drained = connected_proxies.wait_for(|count| *count == 0);
    let drain_timeout = grace.saturating_sub(GRACE_RESERVE);
    let proxy_ended = timeout(drain_timeout, drained).await.is_ok();
    let deregistered = subscription
        .send_and_flush(FromSubscriber::Deregister, DEREGISTER_TIMEOUT)
        .await;
    tracing::info!(proxy_ended, deregistered, "agent stopped");
}
