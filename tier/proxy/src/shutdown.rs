//! Signals: the orderly end of the process, and changed settings.

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
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Returns when the process is to end: SIGTERM begins the way there, on which further signals change nothing.
    /// SIGHUP has the settings read anew.
    pub async fn ended(mut self, proxy: Rc<Proxy>, mut bounds: Bounds) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.hang_up.recv() => read_anew(&mut bounds),
            }
        }
        tracing::info!("ending");
        end(&proxy, bounds.grace()).await;
        tracing::info!(turned_away = proxy.life.turned_away(), "ended");
    }
}

/// Addresses stay as they were at the start: the platform restarts a process that is to listen elsewhere.
fn read_anew(bounds: &mut Bounds) {
    match Settings::load() {
        Ok(settings) => {
            *bounds = settings.bounds;
            tracing::info!("settings read anew");
        }
        Err(error) => tracing::warn!(%error, "settings stay as they were"),
    }
}

/// Takes the node out of service for good; returns when nothing is under way any more, or the time is over. The
/// drain of this node has to be followed meanwhile.
pub async fn end(proxy: &Proxy, grace: Duration) {
    proxy
        .life
        .shut_down(Shutdown::new(duration(proxy.clock.now()), grace));
    // Whatever became of the drain, the process ends before it is killed.
    let _ = timeout(grace, proxy.life.over()).await;
}
