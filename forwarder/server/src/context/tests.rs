//! Contexts for the unit tests of this crate.

use std::path::Path;
use std::rc::Rc;

use plankhill_buffer_pool::BufferPool;
use plankhill_forwarder_config::ForwarderConfig;
use serde_json::Value;
use slog::{o, Logger};

use super::ServerContext;
use crate::stream::BUFFER_BYTES;

/// Loads `config` from a file in `folder`, which is also the state folder.
pub fn load_config(config: &Value, folder: &Path) -> Rc<ForwarderConfig> {
    let path = folder.join("config.json");
    std::fs::write(&path, config.to_string()).expect("configuration file can be written");
    let loaded = plankhill_forwarder_config::load_config(|name| match name {
        "PROXY_CONFIG" => path.to_str().map(str::to_owned),
        "PROXY_STATE" => folder.to_str().map(str::to_owned),
        _ => None,
    });
    Rc::new(loaded.expect("valid configuration"))
}

/// Creates a context that logs nothing and has buffers for twenty messages.
pub fn context_without_log(config: Rc<ForwarderConfig>) -> ServerContext {
    let log = Logger::root(slog::Discard, o!());
    let buffers = BufferPool::new(BUFFER_BYTES, 20);
    ServerContext {
        buffers,
        ..ServerContext::without_fleet(config, log)
    }
}
