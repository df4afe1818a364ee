//! What happens in the demo, in order.

use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

use crate::client::{Client, ClientRequest};
use crate::configuration::{self, ADDED_PATH};
use crate::control_plane::{self, send, Order};
use crate::front::Front;
use crate::layout::Role;
use crate::program::{self, Plan, TURN_TOKENS};
use crate::report::Report;
use crate::stage::Stage;
use crate::tally::Tally;
use crate::{DemoError, DemoOptions};

/// Longest wait for the tier to come up, and for an order to be acknowledged, in seconds.
const START_SECONDS: u64 = 20;

/// Time that a killed process stays away.
const AWAY: Duration = Duration::from_secs(2);

/// Time between two programs' starts.
const PROGRAM_GAP: Duration = Duration::from_millis(150);

/// Turns of a program.
const TURNS: u32 = 5;

/// Time within which a configuration has to be on every proxy.
const SPREAD_LIMIT: Duration = Duration::from_secs(5);

/// Pause between two looks at something awaited.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Plays the demo.
pub(crate) async fn play(options: &DemoOptions) -> Result<Report, DemoError> {
    let mut stage = Stage::set(options.program.clone()).await?;
    stage.put_configuration(0, &configuration::first()).await?;
    stage.wait_for_proxies().await?;
    let programs = stage.start_programs(options.programs);
    sleep(AWAY).await;
    let empty_after = stage.drain_proxy().await?;
    let spread = stage.kill_controller().await?;
    stage.kill_proxy().await?;
    for program in programs {
        // A program that panics is missing among the whole ones.
        let _ = program.await;
    }
    stage.narration.say("all programs have ended");
    let report = stage.end(empty_after, spread).await;
    stage.keep_logs_unless(report.is_whole());
    Ok(report)
}

impl Stage {
    /// Sends a configuration until it is acknowledged.
    async fn put_configuration(&mut self, base: u64, document: &Value) -> Result<(), DemoError> {
        let order = Order::configuration(base, document);
        let limit = Duration::from_secs(START_SECONDS);
        match send(&self.controllers, 0, &order, limit).await {
            Some(answer) if answer.status == StatusCode::OK => {
                self.narration.say(&format!(
                    "configuration {} is acknowledged",
                    document["version"]
                ));
                Ok(())
            }
            _ => {
                self.say_standing().await;
                Err(self.too_late("the acknowledgement of the configuration", START_SECONDS))
            }
        }
    }

    async fn wait_for_proxies(&mut self) -> Result<(), DemoError> {
        let until = Instant::now() + Duration::from_secs(START_SECONDS);
        while self.front.ready() < self.front.len() {
            if Instant::now() >= until {
                return Err(self.too_late("readiness of every proxy", START_SECONDS));
            }
            sleep(LOOK_PAUSE).await;
        }
        self.narration.say("every proxy takes clients");
        Ok(())
    }

    fn start_programs(&self, count: u32) -> Vec<JoinHandle<()>> {
        self.narration.say(&format!(
            "{count} programs begin, one of them with a budget of two turns"
        ));
        let start = |number: u32| {
            let turns_paid = if number == 0 { 2 } else { 4 * TURNS };
            let plan = Plan {
                number,
                turns: TURNS,
                budget: turns_paid * TURN_TOKENS,
            };
            let client = self.client(number as usize);
            tokio::spawn(async move {
                sleep(PROGRAM_GAP * number).await;
                program::run(plan, client).await;
            })
        };
        (0..count).map(start).collect()
    }

    /// Tells how each controller sees the control plane.
    async fn say_standing(&self) {
        for core in &self.cores {
            let line = match control_plane::status(core.admin()).await {
                Some(status) => format!("{}: {}", core.name, standing(&status)),
                None => format!("{}: no status", core.name),
            };
            self.narration.say(&line);
        }
    }

    /// Kills a controller, changes the configuration meanwhile, and starts it again.
    async fn kill_controller(&mut self) -> Result<Option<Duration>, DemoError> {
        let core = self.cores[0].clone();
        self.say_standing().await;
        self.fleet.kill(&core, Role::Controller)?;
        self.narration
            .say(&format!("killed the controller on {}", core.name));
        self.put_configuration(1, &configuration::second()).await?;
        let spread = self.time_until_in_force().await;
        sleep(AWAY).await;
        self.fleet.restart(&core, Role::Controller)?;
        self.narration
            .say(&format!("started the controller on {} again", core.name));
        Ok(spread)
    }

    /// Kills a proxy and starts it again.
    async fn kill_proxy(&mut self) -> Result<(), DemoError> {
        let edge = self.edges[1].clone();
        self.fleet.kill(&edge, Role::Proxy)?;
        self.narration
            .say(&format!("killed the proxy on {}", edge.name));
        sleep(AWAY).await;
        self.fleet.restart(&edge, Role::Proxy)?;
        self.narration
            .say(&format!("started the proxy on {} again", edge.name));
        Ok(())
    }

    /// Time until every proxy serves the route that the second configuration added.
    async fn time_until_in_force(&self) -> Option<Duration> {
        let begun = Instant::now();
        for (place, edge) in self.edges.iter().enumerate() {
            let front = Front::new(std::slice::from_ref(edge));
            let client = Client {
                front,
                tally: Arc::new(Tally::default()),
                place: 0,
            };
            let mut number = 0;
            while !serves_added_route(&client, place, number).await {
                if begun.elapsed() > SPREAD_LIMIT {
                    return None;
                }
                number += 1;
                sleep(LOOK_PAUSE).await;
            }
        }
        self.narration
            .say("every proxy serves the route that it adds");
        Some(begun.elapsed())
    }

    /// Reads back the configuration, stops all processes and puts the report together.
    async fn end(&mut self, empty_after: Duration, spread: Option<Duration>) -> Report {
        let read_back = self.reads_back(&configuration::second()).await;
        let ended = self.fleet.ended();
        let killed_at_end = self.fleet.stop().await;
        self.narration.say("all processes have ended");
        let run_again = self.runs.repeated();
        Report {
            counts: self.tally.counts(),
            run_again,
            empty_after,
            spread,
            read_back,
            ended,
            killed_at_end,
        }
    }

    async fn reads_back(&self, expected: &Value) -> bool {
        let limit = Duration::from_secs(START_SECONDS);
        let answer = send(&self.controllers, 0, &Order::get("/-/config"), limit).await;
        let read = answer.and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
        read.as_ref() == Some(expected)
    }
}

/// A controller's view in one line.
fn standing(status: &Value) -> String {
    let keys = ["view", "chain", "voters", "current", "revision"];
    let parts = keys.map(|key| format!("{key} {}", status[key].to_string().replace('"', "")));
    parts.join(", ")
}

/// True if the client's proxy serves the route that the second configuration adds.
async fn serves_added_route(client: &Client, place: usize, number: u32) -> bool {
    let request = ClientRequest {
        name: format!("added-{place}-{number}"),
        method: Method::GET,
        path: ADDED_PATH,
        headers: Vec::new(),
        body: String::new(),
    };
    matches!(client.send(&request).await, Ok(answered) if answered.answer.status.is_success())
}
