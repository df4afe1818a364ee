//! An orderly end: the proxy of the same machine is fed as long as it drains, then the edge is forgotten.

use std::time::Duration;

use plankhill_protocol::feed::FromSubscriber;
use plankhill_protocol::subscription::Subscription;
use tokio::sync::watch;

/// Left of the grace time for the last message, and for a process that is late.
const RESERVE: Duration = Duration::from_millis(1_000);
/// The last message is tried this long.
const LAST_MESSAGE: Duration = Duration::from_millis(300);

/// Waits until no proxy is connected any more, or the grace time is nearly over; then takes leave.
pub(crate) async fn end(
    subscription: &Subscription,
    mut connected: watch::Receiver<usize>,
    grace: Duration,
) {
    let drained = connected.wait_for(|count| *count == 0);
    let in_time = tokio::time::timeout(grace.saturating_sub(RESERVE), drained)
        .await
        .is_ok();
    let told = subscription
        .send_and_flush(FromSubscriber::Deregister, LAST_MESSAGE)
        .await;
    tracing::info!(proxy_ended = in_time, controller_told = told, "agent ends");
}
