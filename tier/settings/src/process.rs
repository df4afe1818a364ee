//! Code shared by all processes of the tier: the single-threaded runtime, termination on SIGTERM,
//! and reloading the settings on SIGHUP. The agent, the store, the proxy and the controller call
//! these functions from their `run` functions.

use std::future::Future;
use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::LocalSet;

use crate::Settings;

/// Runs `process` to completion on a current-thread runtime, with a `LocalSet` for its tasks.
///
/// # Errors
/// Returns an error if the runtime cannot be created.
pub fn run_on_current_thread<T>(process: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(LocalSet::new().block_on(&runtime, process))
}

/// A request from the platform, sent as a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM: exit within the grace period ([`crate::Bounds::grace`]).
    Terminate,
    /// SIGHUP: reload the settings.
    ReloadSettings,
}

/// Receives the signals that the platform sends to a process.
#[derive(Debug)]
pub struct ProcessSignals {
    terminate: Signal,
    reload: Signal,
}

impl ProcessSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// Returns an error if a signal handler cannot be installed.
    pub fn new() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let reload = signal(SignalKind::hangup())?;
        Ok(ProcessSignals { terminate, reload })
    }

    /// Waits for the next signal; SIGTERM takes precedence if both are pending. Cancel-safe.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => ProcessSignal::Terminate,
            _ = self.reload.recv() => ProcessSignal::ReloadSettings,
        }
    }
}

impl Settings {
    /// Reads the settings file again ([`Settings::load`]). If it cannot be read or is invalid, logs a
    /// warning and returns `None`: the process keeps its current settings.
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
