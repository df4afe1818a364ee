//! Reload of the configuration at runtime (SIGHUP). Called by `server`.

use async_channel::Sender;
use slog::{info, warn};

use crate::context::ServerContext;

/// Reloads the configuration: a new discovery address and quota policy take effect, other changes
/// need a restart. An invalid configuration changes nothing.
pub fn reload_config(context: &ServerContext, discovery_moved: &Sender<()>) {
    let reloaded = plankhill_forwarder_config::reload_config(|name| std::env::var(name).ok());
    let config = match reloaded {
        Ok(config) => config,
        Err(error) => {
            warn!(context.log, "configuration not reloaded"; "error" => %error);
            return;
        }
    };
    for key in config.needs_restart(&context.config) {
        warn!(context.log, "configuration change needs a restart"; "key" => key);
    }
    match (&context.quotas, &config.connection_quotas) {
        (Some(quotas), Some(policy)) => quotas.set_policy(policy),
        (None, None) => (),
        _ => warn!(context.log, "configuration change needs a restart"; "key" => "pools.policy"),
    }
    let address = config.discovery_address;
    if context.discovery_address.replace(address) != address {
        info!(context.log, "discovery moved"; "address" => %address);
        // One message in the mailbox is enough: the address is read when the message is received.
        let _ = discovery_moved.try_send(());
    }
}
