//! The orderly end of the agent: the proxy of the same machine gets updates as long as it drains,
//! then the edge is deregistered.

use std::time::Duration;

use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::subscription::Subscription;
use tokio::sync::watch;
use tokio::time::timeout;

/// Left of the grace time for the last message, and for a process that is late.
const GRACE_RESERVE: Duration = Duration::from_millis(1_000);
/// Time for handing the last message to the operating system.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);

/// Waits until no proxy is connected any more, or the grace time is nearly over; then deregisters
/// the edge.
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
