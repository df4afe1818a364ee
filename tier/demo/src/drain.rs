//! Drains a proxy while programs run, and returns it to service.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};

use crate::control_plane::{send, ControlRequest};
use crate::demo_run::DemoRun;
use crate::DemoError;

/// Path of the drain orders on a controller.
const DRAINS_PATH: &str = "/-/drains";
/// Longest wait for the acknowledgement of an order, and for a drained proxy to become empty, in
/// seconds.
const DRAIN_TIMEOUT_S: u64 = 20;
/// Time between two queries of the drain state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Action of a drain order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainAction {
    Drain,
    Undrain,
}

impl DemoRun {
    /// Drains a proxy, waits until the proxy is empty, and returns it to service. Returns the time
    /// from the drain order until the proxy was empty.
    pub(crate) async fn drain_proxy(&mut self) -> Result<Duration, DemoError> {
        let name = self.edges[2].name.clone();
        let started_at = Instant::now();
        self.order_drain(0, &name, DrainAction::Drain).await?;
        self.progress.print(&format!("drained the proxy on {name}"));
        while !self.is_drained(&name).await {
            if started_at.elapsed() > Duration::from_secs(DRAIN_TIMEOUT_S) {
                return Err(self.timed_out("the drained proxy to become empty", DRAIN_TIMEOUT_S));
            }
            sleep(POLL_INTERVAL).await;
        }
        let drain_time = started_at.elapsed();
        self.progress.print(&format!(
            "the proxy on {name} was empty after {} ms",
            drain_time.as_millis()
        ));
        self.order_drain(1, &name, DrainAction::Undrain).await?;
        self.progress
            .print(&format!("took the proxy on {name} back"));
        Ok(drain_time)
    }

    async fn order_drain(
        &mut self,
        last_order: u64,
        name: &str,
        action: DrainAction,
    ) -> Result<(), DemoError> {
        let order = json!({
            "expected": last_order,
            "leave": action == DrainAction::Drain,
            "nodes": [name],
        });
        let time_limit = Duration::from_secs(DRAIN_TIMEOUT_S);
        let request = ControlRequest::post(DRAINS_PATH, &order);
        match send(&self.controllers, 0, &request, time_limit).await {
            Some(response) if response.status == StatusCode::OK => Ok(()),
            _ => Err(self.timed_out("the acknowledgement of a drain order", DRAIN_TIMEOUT_S)),
        }
    }

    async fn is_drained(&self, name: &str) -> bool {
        let time_limit = Duration::from_secs(1);
        let response = send(
            &self.controllers,
            0,
            &ControlRequest::get(DRAINS_PATH),
            time_limit,
        )
        .await;
        let list =
            response.and_then(|response| serde_json::from_slice::<Value>(&response.body).ok());
        let drains = list
            .and_then(|list| list["drains"].as_array().cloned())
            .unwrap_or_default();
        drains
            .iter()
            .any(|drain| drain["node"] == name && drain["state"] == "empty")
    }
}
