//! The steps of the demo, in order of execution.

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
use crate::program::{self, ProgramPlan, MAX_TURN_TOKENS};
use crate::report::Report;
use crate::{DemoError, DemoOptions};

/// Longest wait for all proxies to be ready, and for the acknowledgement or the read-back of a
/// configuration, in seconds.
const STEP_TIMEOUT_S: u64 = 20;

/// Delay before the drain, and before the restart of a killed process.
const STEP_DELAY: Duration = Duration::from_secs(2);

/// Time between the starts of two programs.
const PROGRAM_START_INTERVAL: Duration = Duration::from_millis(150);

/// Number of turns of each program.
const TURNS_PER_PROGRAM: u32 = 5;

/// Longest time for a configuration to reach every proxy.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the demo to its end.
pub(crate) async fn run(options: &DemoOptions) -> Result<Report, DemoError> {
    let mut demo = DemoRun::start(options.executable.clone()).await?;
    demo.put_configuration(0, &configuration::initial()).await?;
    demo.wait_for_proxies().await?;
    let programs = demo.start_programs(options.program_count);
    sleep(STEP_DELAY).await;
    let drain_time = demo.drain_proxy().await?;
    let propagation = demo.kill_controller().await?;
    demo.kill_proxy().await?;
    for program in programs {
        // A panic needs no handling here: the program is then not counted as completed.
        let _ = program.await;
    }
    demo.progress.print("all programs have ended");
    let report = demo.finish(drain_time, propagation).await;
    if !report.is_success() {
        demo.keep_logs();
    }
    Ok(report)
}

impl DemoRun {
    /// Sends a configuration to the controllers and waits for the acknowledgement.
    async fn put_configuration(
        &mut self,
        base_version: u64,
        document: &Value,
    ) -> Result<(), DemoError> {
        let request = ControlRequest::configuration(base_version, document);
        let time_limit = Duration::from_secs(STEP_TIMEOUT_S);
        match send(&self.controllers, 0, &request, time_limit).await {
            Some(response) if response.status == StatusCode::OK => {
                self.progress.print(&format!(
                    "configuration version {} is acknowledged",
                    document["version"]
                ));
                Ok(())
            }
            _ => {
                self.print_controller_status().await;
                Err(self.timed_out("the acknowledgement of the configuration", STEP_TIMEOUT_S))
            }
        }
    }

    async fn wait_for_proxies(&mut self) -> Result<(), DemoError> {
        let deadline = Instant::now() + Duration::from_secs(STEP_TIMEOUT_S);
        while self.load_balancer.ready_count() < self.load_balancer.len() {
            if Instant::now() >= deadline {
                return Err(self.timed_out("every proxy to be ready", STEP_TIMEOUT_S));
            }
            sleep(POLL_INTERVAL).await;
        }
        self.progress.print("every proxy is ready");
        Ok(())
    }

    fn start_programs(&self, count: u32) -> Vec<JoinHandle<()>> {
        self.progress.print(&format!(
            "starting {count} programs, one of them with a budget of two turns"
        ));
        let start = |number: u32| {
            let budget_turns = if number == 0 {
                2
            } else {
                4 * TURNS_PER_PROGRAM
            };
            let plan = ProgramPlan {
                number,
                turns: TURNS_PER_PROGRAM,
                budget: budget_turns * MAX_TURN_TOKENS,
            };
            let client = self.client(number as usize);
            tokio::spawn(async move {
                sleep(PROGRAM_START_INTERVAL * number).await;
                program::run(plan, client).await;
            })
        };
        (0..count).map(start).collect()
    }

    /// Prints the status of each controller.
    async fn print_controller_status(&self) {
        for core in &self.cores {
            let line = match control_plane::status(core.admin_address()).await {
                Some(status) => format!("{}: {}", core.name, status_line(&status)),
                None => format!("{}: status unavailable", core.name),
            };
            self.progress.print(&line);
        }
    }

    /// Kills a controller, applies the updated configuration while the controller is down, and
    /// restarts the controller. Returns the propagation time of the configuration.
    async fn kill_controller(&mut self) -> Result<Option<Duration>, DemoError> {
        let core = self.cores[0].clone();
        self.print_controller_status().await;
        self.fleet.kill(&core, Role::Controller)?;
        self.progress
            .print(&format!("killed the controller on {}", core.name));
        self.put_configuration(1, &configuration::updated()).await?;
        let propagation = self.measure_propagation().await;
        sleep(STEP_DELAY).await;
        self.fleet.restart(&core, Role::Controller)?;
        self.progress
            .print(&format!("restarted the controller on {}", core.name));
        Ok(propagation)
    }

    /// Kills a proxy and restarts the proxy after a delay.
    async fn kill_proxy(&mut self) -> Result<(), DemoError> {
        let edge = self.edges[1].clone();
        self.fleet.kill(&edge, Role::Proxy)?;
        self.progress
            .print(&format!("killed the proxy on {}", edge.name));
        sleep(STEP_DELAY).await;
        self.fleet.restart(&edge, Role::Proxy)?;
        self.progress
            .print(&format!("restarted the proxy on {}", edge.name));
        Ok(())
    }

    /// Time until every proxy serves the route that the updated configuration adds; `None` if this
    /// takes longer than [`PROPAGATION_TIMEOUT`].
    async fn measure_propagation(&self) -> Option<Duration> {
        let started_at = Instant::now();
        for (index, edge) in self.edges.iter().enumerate() {
            let load_balancer = LoadBalancer::new(std::slice::from_ref(edge));
            let client = Client {
                load_balancer,
                counts: Arc::new(SharedCounts::default()),
                index: 0,
            };
            let mut poll = 0;
            while !serves_added_route(&client, index, poll).await {
                if started_at.elapsed() > PROPAGATION_TIMEOUT {
                    return None;
                }
                poll += 1;
                sleep(POLL_INTERVAL).await;
            }
        }
        self.progress.print("every proxy serves the added route");
        Some(started_at.elapsed())
    }

    /// Reads back the configuration, stops all processes and creates the report.
    async fn finish(&mut self, drain_time: Duration, propagation: Option<Duration>) -> Report {
        let configuration_matches = self.configuration_matches(&configuration::updated()).await;
        let exited_early = self.fleet.exited();
        let killed_at_end = self.fleet.stop().await;
        self.progress.print("all processes have ended");
        let repeated_executions = self.executions.repeated_count();
        Report {
            counts: self.counts.snapshot(),
            repeated_executions,
            drain_time,
            propagation,
            configuration_matches,
            exited_early,
            killed_at_end,
        }
    }

    async fn configuration_matches(&self, expected: &Value) -> bool {
        let time_limit = Duration::from_secs(STEP_TIMEOUT_S);
        let response = send(
            &self.controllers,
            0,
            &ControlRequest::get("/-/config"),
            time_limit,
        )
        .await;
        let read =
            response.and_then(|response| serde_json::from_slice::<Value>(&response.body).ok());
        read.as_ref() == Some(expected)
    }
}

/// Formats the status of a controller as one line.
fn status_line(status: &Value) -> String {
    let keys = ["view", "chain", "voters", "current", "revision"];
    let parts = keys.map(|key| format!("{key} {}", status[key].to_string().replace('"', "")));
    parts.join(", ")
}

/// True if the client's proxy serves the route that the updated configuration adds.
async fn serves_added_route(client: &Client, index: usize, poll: u32) -> bool {
    let request = ClientRequest {
        id_prefix: format!("added-{index}-{poll}"),
        method: Method::GET,
        path: ADDED_PATH,
        headers: Vec::new(),
        body: String::new(),
    };
    matches!(client.send(&request).await, Ok(response) if response.http_response.status.is_success())
}
