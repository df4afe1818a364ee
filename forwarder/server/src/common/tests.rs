//! What the stories inside the program are given.

use std::path::Path;

use serde_json::Value;

use super::*;

/// Told by a file in `folder`, which is the one that lasts as well.
pub fn told(config: &Value, folder: &Path) -> Rc<ForwarderConfig> {
    let path = folder.join("config.json");
    std::fs::write(&path, config.to_string()).expect("writes");
    let told = plankhill_forwarder_config::load_config(|name| match name {
        "PROXY_CONFIG" => path.to_str().map(str::to_owned),
        "PROXY_STATE" => folder.to_str().map(str::to_owned),
        _ => None,
    });
    Rc::new(told.expect("fits"))
}

/// Logs nothing, and has buffers for twenty messages.
pub fn quiet(told: Rc<ForwarderConfig>) -> Common {
    let log = Logger::root(slog::Discard, o!());
    Common {
        pool: Pool::new(MESSAGE, 20),
        ..Common::alone(told, log)
    }
}
