//! The configuration read again while the process runs.

use async_channel::Sender;
use slog::{info, warn};

use crate::common::Common;

/// What the file of the configuration says now: discovery may have moved, the rest waits for a new start.
pub fn read_again(common: &Common, moves: &Sender<()>) {
    let told = match plankhill_forwarder_config::reload_config(|name| std::env::var(name).ok()) {
        Ok(told) => told,
        Err(trouble) => return warn!(common.log, "all stays as it was"; "trouble" => trouble),
    };
    for key in told.needs_restart(&common.told) {
        warn!(common.log, "takes effect only with a new start"; "key" => key);
    }
    match (&common.budgets, &told.connection_quotas) {
        (Some(budgets), Some(pools)) => budgets.told(pools),
        (None, None) => (),
        _ => warn!(common.log, "takes effect only with a new start"; "key" => "pools.policy"),
    }
    if common.discovery.replace(told.discovery_address) != told.discovery_address {
        info!(common.log, "discovery moves"; "to" => %told.discovery_address);
        // One word in the mailbox is enough: the address is read when it is taken out.
        let _ = moves.try_send(());
    }
}
