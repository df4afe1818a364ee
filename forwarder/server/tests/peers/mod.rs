//! Stubs for a forwarder's peers, and the forwarder itself as a process.
#![allow(dead_code, unused_imports)] // each test file uses some of it

pub mod blocked_target;
pub mod manual_discovery;
mod process;
mod stub_servers;
pub mod successor;

use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use serde_json::{json, Value};

pub use process::*;
pub use stub_servers::*;

pub const TIMEOUT: Duration = Duration::from_secs(30);
pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
pub const ORDER_KEY_COOKIE: &str = "Cookie: about=5\r\n";
pub const ERROR: &str = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n";

pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "z", "flavor": "k", "cell": 1, "phase": phase})
}

pub fn config(discovery: SocketAddr, target: SocketAddr) -> Value {
    let traffic = |name, semantics, ordered| {
        json!({"name": name, "semantics": semantics, "aimUs": 1000000, "deadlineUs": 60000000, "credit": 1,
            "lateWorth": 0.1, "dedupScope": "all", "windowUs": 30000000, "serialByKey": ordered})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "mgmt": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "7",
        "limits": {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {"revision": 41, "complete": true, "members": [member("t", target, "up")]},
        "settings": {"me": 0, "balancers": 1, "shapes": ["k"], "zones": ["z"], "zone": "z",
            "allowed": {"attemptsCap": 6, "maxOpen": 20, "probes": true, "retryAfter": true,
                "maxRetryAfterUs": 2000000},
            "familyInfo": {"slots": 4},
            "profiles": [traffic("job", "pure", false), traffic("order", "token", false),
                traffic("charge", "side_effect", true)],
            "rules": {"coldFrom": 0.2, "coldUs": 9000000, "tipMultiple": 2}}})
}

pub fn event_request(id: &str, traffic: &str, extra_headers: &str) -> Vec<u8> {
    format!(
        "POST /{traffic} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {id}\r\nReq-Deadline: 60\r\n\
         X-Envelope: dest=1\r\nIdempotency-Key: f-{id}\r\n{extra_headers}Content-Length: 4\r\n\r\nbody"
    )
    .into_bytes()
}

/// Starts a target, discovery and a forwarder; returns the forwarder, the target's calls, and the
/// notices and watches that discovery receives. Discovery rejects the first `failing_notices`
/// notice requests.
pub fn start_with_stubs(
    failing_notices: usize,
    change: impl FnOnce(&mut Value),
) -> (
    Forwarder,
    Receiver<ReceivedRequest>,
    Receiver<Value>,
    Receiver<ReceivedRequest>,
) {
    let (target, calls) = stub_server();
    let (discovery, watches, notices) = discovery_stub(failing_notices);
    let mut config = config(discovery, target);
    change(&mut config);
    (Forwarder::start(&config), calls, notices, watches)
}

pub fn receive<T>(from: &Receiver<T>) -> T {
    from.recv_timeout(TIMEOUT).expect("received in time")
}

pub fn given_up_notice(id: &str) -> Value {
    json!({"message": id, "outcome": "given_up"})
}
