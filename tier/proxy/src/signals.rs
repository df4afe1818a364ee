//! Signals: SIGTERM begins the graceful shutdown of the process, SIGHUP reloads the settings.

use std::rc::Rc;
use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use plankhill_settings::{Bounds, ProcessSignal, ProcessSignals, Settings};
use tokio::time::timeout;

use crate::clock::duration;
use crate::process::Proxy;

/// Returns when the process is to end: SIGTERM begins the shutdown, during which further signals
/// have no effect. SIGHUP before the shutdown reloads the settings; addresses stay as they were at
/// the start, since the platform restarts a process that is to listen elsewhere.
pub async fn process_ended(mut signals: ProcessSignals, proxy: Rc<Proxy>, mut bounds: Bounds) {
    loop {
        match signals.next().await {
            ProcessSignal::Terminate => break,
            ProcessSignal::ReloadSettings => {
                if let Some(settings) = Settings::reload() {
                    bounds = settings.bounds;
                    tracing::info!("settings reloaded");
                }
            }
        }
    }
    tracing::info!("graceful shutdown started");
    shut_down(&proxy, bounds.grace()).await;
    let rejected_requests = proxy.lifecycle.rejected_requests();
    tracing::info!(rejected_requests, "graceful shutdown finished");
}

/// Takes the node out of service permanently; returns when no work is left, or after `grace`.
/// [`crate::draining::run`] must run concurrently.
pub async fn shut_down(proxy: &Proxy, grace: Duration) {
    let shutdown = Shutdown::new(duration(proxy.clock.now()), grace);
    proxy.lifecycle.begin_shutdown(shutdown);
    // The timeout ends the process before it is killed, whatever the state of the drain.
    let _ = timeout(grace, proxy.lifecycle.process_ended()).await;
}
