//! Signals: SIGTERM begins the graceful shutdown of the process, SIGHUP reloads the settings.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use plankhill_draining::shutdown::Shutdown;
use plankhill_settings::{Bounds, Settings};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::timeout;

use crate::clock::duration;
use crate::process::Proxy;

/// The signals that the process answers to, caught from its start on.
pub struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Catches the signals.
    ///
    /// # Errors
    /// The operating system's.
    pub fn catch() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let hang_up = signal(SignalKind::hangup())?;
        Ok(Signals { terminate, hang_up })
    }

    /// Returns when the process is to end: SIGTERM begins the shutdown, during which further signals
    /// change nothing. SIGHUP before it has the settings read again.
    pub async fn process_ended(mut self, proxy: Rc<Proxy>, mut bounds: Bounds) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.hang_up.recv() => reload_settings(&mut bounds),
            }
        }
        tracing::info!("graceful shutdown started");
        shut_down(&proxy, bounds.grace()).await;
        let rejected_requests = proxy.lifecycle.rejected_requests();
        tracing::info!(rejected_requests, "graceful shutdown finished");
    }
}

/// Addresses stay as they were at the start: the platform restarts a process that is to listen
/// elsewhere.
fn reload_settings(bounds: &mut Bounds) {
    match Settings::load() {
        Ok(settings) => {
            *bounds = settings.bounds;
            tracing::info!("settings reloaded");
        }
        Err(error) => tracing::warn!(%error, "settings reload failed; settings unchanged"),
    }
}

/// Takes the node out of service for good; returns when no work is left, or after `grace`.
/// [`crate::draining::follow`] has to run meanwhile.
pub async fn shut_down(proxy: &Proxy, grace: Duration) {
    let shutdown = Shutdown::new(duration(proxy.clock.now()), grace);
    proxy.lifecycle.begin_shutdown(shutdown);
    // Whatever became of the drain, the process ends before it is killed.
    let _ = timeout(grace, proxy.lifecycle.process_ended()).await;
}
