//! Signals: the orderly end of the process, and changed settings.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use plankhill_settings::{Bounds, Settings};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{sleep, timeout};

use crate::life::{Connections, Life};
use crate::process::Proxy;

/// The platform asks every second and stops sending clients after two misses; a third second for the ones
/// that are on their way.
const CLIENTS_STILL_COME: Duration = Duration::from_secs(3);
/// An answer that is finished may still wait in the process for a client that reads slowly.
const LAST_WRITES: Duration = Duration::from_millis(100);
/// Turns that are cut are settled in this time; the stores take some milliseconds.
const LAST_SETTLEMENTS: Duration = Duration::from_millis(250);
/// The process is gone this long before it is killed.
const BEFORE_KILL: Duration = Duration::from_millis(300);

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
        Ok(Signals { terminate: signal(SignalKind::terminate())?, hang_up: signal(SignalKind::hangup())? })
    }

    /// Returns when the process is to end: after SIGTERM it first serves what still comes and finishes what it
    /// has, until shortly before it would be killed. SIGHUP has the settings read anew.
    pub async fn ended(mut self, proxy: Rc<Proxy>, mut bounds: Bounds) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => break,
                _ = self.hang_up.recv() => read_anew(&mut bounds),
            }
        }
        tracing::info!("ending");
        // Until the end, SIGHUP changes nothing any more; it stays caught.
        let grace = bounds.grace().saturating_sub(BEFORE_KILL);
        let still_coming = CLIENTS_STILL_COME.min(grace);
        drain(&proxy.life, still_coming, grace - still_coming).await;
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

/// Turns clients away, serves those that come for a time nevertheless, and then waits until what is under way
/// is finished, for at most `finishing`.
pub async fn drain(life: &Life, still_coming: Duration, finishing: Duration) {
    life.set_ending();
    sleep(still_coming).await;
    let finished = async {
        life.idle().await;
        sleep(LAST_WRITES).await;
        // What came meanwhile.
        life.idle().await;
    };
    if timeout(finishing.saturating_sub(LAST_SETTLEMENTS), finished).await.is_ok() {
        return;
    }
    // What is not finished by now is cut, and counts by what its client was handed.
    life.set_connections(Connections::Cut);
    let _ = timeout(LAST_SETTLEMENTS, life.idle()).await;
}
