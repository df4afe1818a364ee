//! Periodic work of the connection quotas. Spawned by `server`.

use std::time::Duration;

use async_io::Timer;

use crate::context::ServerContext;

/// Interval of the checks for surplus idle connections and due commands.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Reports this instance's demand, closes surplus connections, and proposes leases while this
/// process leads the control group.
pub async fn run(context: ServerContext) {
    let (Some(raft), Some(quotas)) = (context.raft.clone(), context.quotas.clone()) else {
        return;
    };
    loop {
        Timer::after(TICK_INTERVAL).await;
        quotas.tick(&raft, &context.log);
    }
}
