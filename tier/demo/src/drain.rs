//! Drains a proxy while programs run, and takes it back into service.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};

use crate::control_plane::{send, ControlRequest};
use crate::demo_run::DemoRun;
use crate::DemoError;

/// Where controllers take orders that drain forwarders.
const DRAINS_PATH: &str = "/-/drains";
/// Longest wait for an order's acknowledgement, and for a proxy to be empty, in seconds.
const DRAIN_TIMEOUT_S: u64 = 20;
/// Time between two queries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What an order tells a forwarder to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainAction {
    Drain,
    Undrain,
}

impl DemoRun {
    /// Drains a proxy, waits until it is empty, and takes it back into service. Returns the time
    /// until it was empty.
    pub(crate) async fn drain_proxy(&mut self) -> Result<Duration, DemoError> {
        let name = self.edges[2].name.clone();
        let begun = Instant::now();
        self.order_drain(0, &name, DrainAction::Drain).await?;
        self.progress.print(&format!("drained the proxy on {name}"));
        while !self.is_empty(&name).await {
            if begun.elapsed() > Duration::from_secs(DRAIN_TIMEOUT_S) {
                return Err(self.timed_out("the drained proxy to be empty", DRAIN_TIMEOUT_S));
            }
            sleep(POLL_INTERVAL).await;
        }
        let drain_time = begun.elapsed();
        self.progress.print(&format!(
            "{name} was empty after {} ms",
            drain_time.as_millis()
        ));
        self.order_drain(1, &name, DrainAction::Undrain).await?;
        self.progress
            .print(&format!("took the proxy on {name} back"));
        Ok(drain_time)
    }

    async fn order_drain(
        &mut self,
        expected: u64,
        name: &str,
        action: DrainAction,
    ) -> Result<(), DemoError> {
        let order = json!({
            "expected": expected,
            "leave": action == DrainAction::Drain,
            "nodes": [name],
        });
        let limit = Duration::from_secs(DRAIN_TIMEOUT_S);
        let request = ControlRequest::post(DRAINS_PATH, &order);
        match send(&self.controllers, 0, &request, limit).await {
            Some(answer) if answer.status == StatusCode::OK => Ok(()),
            _ => Err(self.timed_out("the acknowledgement of a drain", DRAIN_TIMEOUT_S)),
        }
    }

    async fn is_empty(&self, name: &str) -> bool {
        let limit = Duration::from_secs(1);
        let answer = send(
            &self.controllers,
            0,
            &ControlRequest::get(DRAINS_PATH),
            limit,
        )
        .await;
        let list = answer.and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
        let drains = list
            .and_then(|list| list["drains"].as_array().cloned())
            .unwrap_or_default();
        drains
            .iter()
            .any(|drain| drain["node"] == name && drain["state"] == "empty")
    }
}
