//! The steps of the demo, in order.

use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

use crate::client::{Client, ClientRequest};
use crate::configuration::{self, ADDED_PATH};
use crate::control_plane::{self, send, ControlRequest};
use crate::counts::SharedCounts;
use crate::demo_run::DemoRun;
use crate::layout::Role;
use crate::load_balancer::LoadBalancer;
use crate::program::{self, ProgramPlan, TURN_TOKENS};
use crate::report::Report;
use crate::{DemoError, DemoOptions};

/// Longest wait for the tier to come up, and for an order to be acknowledged, in seconds.
const START_TIMEOUT_S: u64 = 20;

/// Time until a killed process is started again.
const DOWNTIME: Duration = Duration::from_secs(2);

/// Time between two programs' starts.
const PROGRAM_START_INTERVAL: Duration = Duration::from_millis(150);

/// Turns of a program.
const TURNS: u32 = 5;

/// Time within which a configuration has to be on every proxy.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two checks whether an awaited event has come.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the demo to its end.
pub(crate) async fn run(options: &DemoOptions) -> Result<Report, DemoError> {
    let mut demo = DemoRun::start(options.program.clone()).await?;
    demo.put_configuration(0, &configuration::first()).await?;
    demo.wait_for_proxies().await?;
    let programs = demo.start_programs(options.programs);
    sleep(DOWNTIME).await;
    let drain_time = demo.drain_proxy().await?;
    let propagation = demo.kill_controller().await?;
    demo.kill_proxy().await?;
    for program in programs {
        // A program that panics is missing among the completed ones.
        let _ = program.await;
    }
    demo.progress.print("all programs have ended");
    let report = demo.end(drain_time, propagation).await;
    if !report.is_success() {
        demo.keep_logs();
    }
    Ok(report)
}

impl DemoRun {
    /// Sends a configuration until it is acknowledged.
    async fn put_configuration(&mut self, base: u64, document: &Value) -> Result<(), DemoError> {
        let order = ControlRequest::configuration(base, document);
        let limit = Duration::from_secs(START_TIMEOUT_S);
        match send(&self.controllers, 0, &order, limit).await {
            Some(answer) if answer.status == StatusCode::OK => {
                self.progress.print(&format!(
                    "configuration {} is acknowledged",
                    document["version"]
                ));
                Ok(())
            }
            _ => {
                self.print_controller_status().await;
                Err(self.timed_out("the acknowledgement of the configuration", START_TIMEOUT_S))
            }
        }
    }

    async fn wait_for_proxies(&mut self) -> Result<(), DemoError> {
        let until = Instant::now() + Duration::from_secs(START_TIMEOUT_S);
        while self.load_balancer.ready_count() < self.load_balancer.len() {
            if Instant::now() >= until {
                return Err(self.timed_out("readiness of every proxy", START_TIMEOUT_S));
            }
            sleep(POLL_INTERVAL).await;
        }
        self.progress.print("every proxy takes clients");
        Ok(())
    }

    fn start_programs(&self, count: u32) -> Vec<JoinHandle<()>> {
        self.progress.print(&format!(
            "{count} programs begin, one of them with a budget of two turns"
        ));
        let start = |number: u32| {
            let turns_paid = if number == 0 { 2 } else { 4 * TURNS };
            let plan = ProgramPlan {
                number,
                turns: TURNS,
                budget: turns_paid * TURN_TOKENS,
            };
            let client = self.client(number as usize);
            tokio::spawn(async move {
                sleep(PROGRAM_START_INTERVAL * number).await;
                program::run(plan, client).await;
            })
        };
        (0..count).map(start).collect()
    }

    /// Prints each controller's view of the control plane.
    async fn print_controller_status(&self) {
        for core in &self.cores {
            let line = match control_plane::status(core.admin()).await {
                Some(status) => format!("{}: {}", core.name, status_line(&status)),
                None => format!("{}: no status", core.name),
            };
            self.progress.print(&line);
        }
    }

    /// Kills a controller, changes the configuration meanwhile, and starts it again.
    async fn kill_controller(&mut self) -> Result<Option<Duration>, DemoError> {
        let core = self.cores[0].clone();
        self.print_controller_status().await;
        self.fleet.kill(&core, Role::Controller)?;
        self.progress
            .print(&format!("killed the controller on {}", core.name));
        self.put_configuration(1, &configuration::second()).await?;
        let propagation = self.time_until_in_force().await;
        sleep(DOWNTIME).await;
        self.fleet.restart(&core, Role::Controller)?;
        self.progress
            .print(&format!("started the controller on {} again", core.name));
        Ok(propagation)
    }

    /// Kills a proxy and starts it again.
    async fn kill_proxy(&mut self) -> Result<(), DemoError> {
        let edge = self.edges[1].clone();
        self.fleet.kill(&edge, Role::Proxy)?;
        self.progress
            .print(&format!("killed the proxy on {}", edge.name));
        sleep(DOWNTIME).await;
        self.fleet.restart(&edge, Role::Proxy)?;
        self.progress
            .print(&format!("started the proxy on {} again", edge.name));
        Ok(())
    }

    /// Time until every proxy serves the route that the second configuration added.
    async fn time_until_in_force(&self) -> Option<Duration> {
        let begun = Instant::now();
        for (index, edge) in self.edges.iter().enumerate() {
            let load_balancer = LoadBalancer::new(std::slice::from_ref(edge));
            let client = Client {
                load_balancer,
                counts: Arc::new(SharedCounts::default()),
                index: 0,
            };
            let mut number = 0;
            while !serves_added_route(&client, index, number).await {
                if begun.elapsed() > PROPAGATION_TIMEOUT {
                    return None;
                }
                number += 1;
                sleep(POLL_INTERVAL).await;
            }
        }
        self.progress
            .print("every proxy serves the route that it adds");
        Some(begun.elapsed())
    }

    /// Reads back the configuration, stops all processes and puts the report together.
    async fn end(&mut self, drain_time: Duration, propagation: Option<Duration>) -> Report {
        let read_back = self.reads_back(&configuration::second()).await;
        let ended = self.fleet.exited();
        let killed_at_end = self.fleet.stop().await;
        self.progress.print("all processes have ended");
        let repeated_executions = self.executions.repeated();
        Report {
            counts: self.counts.counts(),
            repeated_executions,
            drain_time,
            propagation,
            read_back,
            ended,
            killed_at_end,
        }
    }

    async fn reads_back(&self, expected: &Value) -> bool {
        let limit = Duration::from_secs(START_TIMEOUT_S);
        let answer = send(
            &self.controllers,
            0,
            &ControlRequest::get("/-/config"),
            limit,
        )
        .await;
        let read = answer.and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
        read.as_ref() == Some(expected)
    }
}

/// A controller's view in one line.
fn status_line(status: &Value) -> String {
    let keys = ["view", "chain", "voters", "current", "revision"];
    let parts = keys.map(|key| format!("{key} {}", status[key].to_string().replace('"', "")));
    parts.join(", ")
}

/// True if the client's proxy serves the route that the second configuration adds.
async fn serves_added_route(client: &Client, index: usize, number: u32) -> bool {
    let request = ClientRequest {
        name: format!("added-{index}-{number}"),
        method: Method::GET,
        path: ADDED_PATH,
        headers: Vec::new(),
        body: String::new(),
    };
    matches!(client.send(&request).await, Ok(answered) if answered.answer.status.is_success())
}
