//! Tests of the store's process.

use std::net::TcpListener;

use plankhill_settings::Settings;
use plankhill_store::{run, RunError};

/// Settings of a store at an address of its own.
fn settings(data_path: &str) -> Settings {
    let text = format!(
        r#"
node_id = "storage-1"
role = "store"
machine_class = "storage"
serves = ["storage"]
ip = "127.0.93.7"
zone = "north"
region = "inland"
port_range = [21300, 21315]
seed_nodes = ["127.0.93.1:21400"]
bootstrap = false
counts_for_quorum = true
heartbeat_ms = 900
invariants = ["base"]
data_path = {data_path:?}

[zones]
north = "inland"

[listeners_map]

[limits]
cpu_quota = 0.25
cpus = 1
memory_mb = 260
max_fds = 4100
bandwidth_mbps = 800.0
disk_mb = 300

[fault_tolerance]
nodes = 1
zones = 0
regions = 0

[bounds]
drain_ms = 1500
catch_up_s = 4.4
"#
    );
    text.parse().expect("valid settings")
}

/// Guards against an error without the address, from which an operator cannot tell which port is taken.
#[test]
fn a_store_that_cannot_listen_names_the_address() {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = settings(&folder.path().display().to_string());
    let address = settings.store_address();
    let _listener = TcpListener::bind(address).expect("a free port");
    let error = run(settings).expect_err("the port is taken");
    assert!(matches!(error, RunError::Listen(_)), "{error:?}");
    let text = error.to_string();
    assert!(
        text.starts_with(&format!("start: cannot listen at {address}: ")),
        "{text}"
    );
}
