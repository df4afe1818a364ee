//! Signals of the platform.

use std::io;

use tokio::signal::unix::{signal, Signal, SignalKind};

/// What the platform asked for.
pub(crate) enum Request {
    /// Read the settings again (SIGHUP).
    Reload,
    /// End within the grace time (SIGTERM).
    End,
}

/// The signals that this process listens to.
pub(crate) struct Signals {
    reload: Signal,
    end: Signal,
}

impl Signals {
    /// Listens from now on.
    pub(crate) fn listen() -> io::Result<Self> {
        Ok(Signals {
            reload: signal(SignalKind::hangup())?,
            end: signal(SignalKind::terminate())?,
        })
    }

    /// The next request.
    pub(crate) async fn next(&mut self) -> Request {
        tokio::select! {
            biased;
            _ = self.end.recv() => Request::End,
            _ = self.reload.recv() => Request::Reload,
        }
    }
}
