//! Takes a proxy out of service while programs run, and back.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};

use crate::control_plane::{send, Order};
use crate::stage::Stage;
use crate::DemoError;

/// Where controllers take orders that drain forwarders.
const DRAINS_PATH: &str = "/-/drains";
/// Longest wait for an order's acknowledgement, and for a proxy to be empty, in seconds.
const LIMIT_SECONDS: u64 = 20;
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

impl Stage {
    /// Drains a proxy, waits until it is empty, and takes it back; the time until it was empty.
    pub(crate) async fn drain_proxy(&mut self) -> Result<Duration, DemoError> {
        let name = self.edges[2].name.clone();
        let begun = Instant::now();
        self.order_drain(0, &name, true).await?;
        self.narration.say(&format!("drained the proxy on {name}"));
        while !self.is_empty(&name).await {
            if begun.elapsed() > Duration::from_secs(LIMIT_SECONDS) {
                return Err(self.too_late("the drained proxy to be empty", LIMIT_SECONDS));
            }
            sleep(LOOK_PAUSE).await;
        }
        let empty_after = begun.elapsed();
        self.narration.say(&format!(
            "{name} was empty after {} ms",
            empty_after.as_millis()
        ));
        self.order_drain(1, &name, false).await?;
        self.narration
            .say(&format!("took the proxy on {name} back"));
        Ok(empty_after)
    }

    async fn order_drain(
        &mut self,
        expected: u64,
        name: &str,
        leave: bool,
    ) -> Result<(), DemoError> {
        let order = json!({"expected": expected, "leave": leave, "nodes": [name]});
        let limit = Duration::from_secs(LIMIT_SECONDS);
        match send(
            &self.controllers,
            0,
            &Order::post(DRAINS_PATH, &order),
            limit,
        )
        .await
        {
            Some(answer) if answer.status == StatusCode::OK => Ok(()),
            _ => Err(self.too_late("the acknowledgement of a drain", LIMIT_SECONDS)),
        }
    }

    async fn is_empty(&self, name: &str) -> bool {
        let limit = Duration::from_secs(1);
        let answer = send(&self.controllers, 0, &Order::get(DRAINS_PATH), limit).await;
        let list = answer.and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
        let drains = list
            .and_then(|list| list["drains"].as_array().cloned())
            .unwrap_or_default();
        drains
            .iter()
            .any(|drain| drain["node"] == name && drain["state"] == "empty")
    }
}
