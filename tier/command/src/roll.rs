//! Carries a roll out: drains forwarders, says when each may be started anew, and takes them back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use plankhill_draining::rolling_restart::{
    FleetView, NodeView, RestartLimits, RestartStep, RollingRestart,
};
use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};
use serde_json::Value;

use crate::arguments::{DrainArguments, RollArguments};
use crate::controller_call::CallError;
use crate::drains::{list, send};
use crate::status::parse_address;
use crate::{print, print_error, ExitStatus};

/// Time between two looks at the controller.
const LOOK: Duration = Duration::from_millis(500);
/// Calls that may fail in a row: a change of the chain's view takes a second.
const MOST_FAILURES: u32 = 20;

/// Runs the roll to its end; fails where it stops.
pub(crate) fn run(plan: &RollArguments) -> ExitStatus {
    let Some(address) = parse_address(&plan.address) else {
        return ExitStatus::Usage;
    };
    match roll(address, plan) {
        Ok(done) => print(&format!("done: {done} forwarders")),
        Err(error) => {
            print_error(&format!("{address}: the roll stopped: {error}"));
            ExitStatus::Failure
        }
    }
}

/// Why a roll did not come to its end.
#[derive(Debug, thiserror::Error)]
enum RollError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Stopped(#[from] plankhill_draining::rolling_restart::StopReason),
}

fn roll(address: SocketAddr, plan: &RollArguments) -> Result<usize, RollError> {
    let view = view_of(&list(address)?);
    let named = plan.nodes.iter().map(|node| NodeId::from(node.as_str()));
    let nodes = if plan.nodes.is_empty() {
        view.live.keys().cloned().collect()
    } else {
        named.collect()
    };
    let bounds = RestartLimits {
        max_unavailable: plan.most_out,
        drain_timeout: plan.empty_within,
        restart_timeout: plan.back_within,
    };
    let mut roll = RollingRestart::new(bounds, nodes, &view);
    let started = Instant::now();
    let mut failures = 0;
    loop {
        let view = match list(address) {
            Ok(list) => view_of(&list),
            Err(error) => {
                failures += 1;
                if failures > MOST_FAILURES {
                    return Err(error.into());
                }
                std::thread::sleep(LOOK);
                continue;
            }
        };
        failures = 0;
        match roll.step(started.elapsed(), &view) {
            RestartStep::Drain(node) => {
                print(&format!("drain {node}"));
                order(address, &node, true)?;
            }
            RestartStep::Restart(node) => drop(print(&format!("empty {node}: start it anew"))),
            RestartStep::Undrain(node) => {
                order(address, &node, false)?;
                print(&format!("back {node}"));
            }
            RestartStep::Wait => std::thread::sleep(LOOK),
            RestartStep::Done => return Ok(roll.progress().0),
            RestartStep::Stop(stopped) => return Err(stopped.into()),
        }
    }
}

fn order(address: SocketAddr, node: &NodeId, leave: bool) -> Result<(), CallError> {
    let nodes = vec![node.to_string()];
    let order = DrainArguments {
        address: address.to_string(),
        leave,
        nodes,
        zone: None,
    };
    send(address, &order).map(drop)
}

fn view_of(list: &Value) -> FleetView {
    let rows = |key: &str| list[key].as_array().cloned().unwrap_or_default();
    let text = |row: &Value, key: &str| row[key].as_str().unwrap_or_default().to_owned();
    let live = |row: Value| {
        let zone = ZoneName::from(text(&row, "zone").as_str());
        let incarnation = Incarnation(row["incarnation"].as_u64().unwrap_or_default());
        (
            NodeId::from(text(&row, "node").as_str()),
            NodeView { zone, incarnation },
        )
    };
    let drain = |row: Value| {
        (
            NodeId::from(text(&row, "node").as_str()),
            row["state"] == "empty",
        )
    };
    FleetView {
        live: rows("edges").into_iter().map(live).collect(),
        drains: rows("drains").into_iter().map(drain).collect(),
    }
}
