//! The orderly end of the process.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use plankhill_settings::Bounds;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep, timeout};

use crate::process::Proxy;

/// The platform asks every second and stops sending clients after two misses; a third second for the ones
/// that are on their way.
const CLIENTS_STILL_COME: Duration = Duration::from_secs(3);
/// The process is gone this long before it is killed.
const BEFORE_KILL: Duration = Duration::from_millis(300);

/// Returns when the process is to end: after SIGTERM it first serves what still comes and finishes what it
/// has, until shortly before it would be killed.
///
/// # Errors
/// If the signal cannot be waited for.
pub async fn ended(proxy: Rc<Proxy>, bounds: Bounds) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    // Changed settings are the agent's concern: without a handler the signal would end the process.
    let _reload = signal(SignalKind::hangup())?;
    terminate.recv().await;
    tracing::info!("ending");
    proxy.life.set_ending();
    let grace = bounds.grace().saturating_sub(BEFORE_KILL);
    let still_coming = CLIENTS_STILL_COME.min(grace);
    sleep(still_coming).await;
    // What is not finished by then is cut.
    let _ = timeout(grace.saturating_sub(still_coming), proxy.life.idle()).await;
    Ok(())
}
