//! Heartbeats of the stub targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::configuration::{MODEL_SERVICE, TARGET_CAPACITY};
use crate::control_plane::{send, ControlRequest};
use crate::settings_file::HEARTBEAT_MS;
use crate::target::Target;

/// Longest wait for the acknowledgement of one heartbeat, including retries.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends heartbeats of `target` for as long as the demo runs.
pub(crate) async fn send_heartbeats(target: Arc<Target>, controllers: Arc<[SocketAddr]>) {
    for sequence in 1_usize.. {
        let request = heartbeat_request(&target, sequence);
        // A missing acknowledgement needs no handling: the next heartbeat carries the same state.
        let _ = send(&controllers, sequence, &request, HEARTBEAT_TIMEOUT).await;
        sleep(Duration::from_millis(HEARTBEAT_MS)).await;
    }
}

fn heartbeat_request(target: &Target, sequence: usize) -> ControlRequest {
    let mut body = json!({
        "service": target.service, "address": target.address.to_string(), "zone": target.zone,
        "version": "v1", "capacity": TARGET_CAPACITY, "state": "healthy", "cold_remaining_ms": 0,
        "sequence": sequence
    });
    if target.service == MODEL_SERVICE {
        body["phase"] = json!("both");
        body["models"] = json!([{"name": "m", "version": 1, "adapters": []}]);
    }
    let path = format!("/-/instances/{}", target.id);
    ControlRequest {
        method: Method::PUT,
        path,
        base_version: None,
        body: Bytes::from(body.to_string()),
    }
}
