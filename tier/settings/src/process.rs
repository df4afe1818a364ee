//! What every process of the tier does alike: it runs on one thread, ends on SIGTERM, and reads its
//! settings again on SIGHUP. The agent, the store, the proxy and the controller call this from
//! their `run` functions.

use std::future::Future;
use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;

use crate::Settings;

/// Runs `process` to its end on a runtime of the calling thread, with a `LocalSet` for its tasks.
///
/// # Errors
/// If the operating system refuses what the runtime needs.
pub fn run_on_current_thread<T>(process: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, process))
}

/// A request of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM: end within the grace time ([`crate::Bounds::grace`]).
    Terminate,
    /// SIGHUP: read the settings again.
    ReloadSettings,
}

/// The signals by which the platform speaks to a process.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: Signal,
    reload: Signal,
}

impl ProcessSignals {
    /// Catches the signals from now on.
    ///
    /// # Errors
    /// If the operating system refuses a handler.
    pub fn new() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let reload = signal(SignalKind::hangup())?;
        Ok(ProcessSignals { terminate, reload })
    }

    /// Waits for the next signal; SIGTERM comes first where both are pending. Cancel-safe.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => ProcessSignal::Terminate,
            _ = self.reload.recv() => ProcessSignal::ReloadSettings,
        }
    }
}

impl Settings {
    /// Reads the settings file again ([`Settings::load`]). Where it cannot be used, a warning is
    /// logged and `None` is returned: the process goes on with the settings that it has.
    pub fn reload() -> Option<Settings> {
        match Settings::load() {
            Ok(settings) => Some(settings),
            Err(error) => {
                tracing::warn!(%error, "settings reload failed; current settings kept");
                None
            }
        }
    }
}
