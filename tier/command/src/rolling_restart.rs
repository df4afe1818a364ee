//! Performs a rolling restart: drains forwarders, prints when each may be restarted, and puts them
//! back into service. [`RollingRestart`] makes the decisions.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use plankhill_draining::rolling_restart::{
    FleetView, NodeView, RestartLimits, RestartStep, RollingRestart, StopReason,
};
use plankhill_protocol::ids::{Incarnation, NodeId, ZoneName};
use serde_json::Value;

use crate::arguments::{DrainAction, DrainArguments, RollingRestartArguments};
use crate::controller_call::CallError;
use crate::drains::{fetch_drains, order_drains};
use crate::status::parse_address;
use crate::{print, print_error, ExitStatus};

/// Interval between queries of the controller.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of consecutive failed calls: calls may fail for a second during a view change of
/// the chain.
const MAX_CALL_FAILURES: u32 = 20;

/// Runs the rolling restart to completion; fails if it stops early.
pub(crate) fn run(plan: &RollingRestartArguments) -> ExitStatus {
    let Some(address) = parse_address(&plan.address) else {
        return ExitStatus::Usage;
    };
    match restart_all(address, plan) {
        Ok(restarted) => print(&format!("done: {restarted} forwarders")),
        Err(error) => {
            print_error(&format!("{address}: rolling restart stopped: {error}"));
            ExitStatus::Failure
        }
    }
}

/// A rolling restart stopped before its completion.
#[derive(Debug, thiserror::Error)]
enum RestartError {
    #[error("{0}")]
    Call(#[from] CallError),
    #[error("{0}")]
    Stopped(#[from] StopReason),
}

/// Restarts all machines of the plan; returns the number of restarted machines.
fn restart_all(address: SocketAddr, plan: &RollingRestartArguments) -> Result<usize, RestartError> {
    let view = parse_view(&fetch_drains(address)?);
    let limits = RestartLimits {
        max_unavailable: plan.max_unavailable,
        drain_timeout: plan.drain_timeout,
        restart_timeout: plan.restart_timeout,
    };
    let mut restart = RollingRestart::new(limits, nodes_of(plan, &view), &view);
    let started = Instant::now();
    loop {
        let view = poll_view(address)?;
        match restart.step(started.elapsed(), &view) {
            RestartStep::Drain(node) => {
                print(&format!("drain {node}"));
                order(address, &node, DrainAction::Drain)?;
            }
            RestartStep::Restart(node) => {
                print(&format!("empty {node}: start it anew"));
            }
            RestartStep::Undrain(node) => {
                order(address, &node, DrainAction::Undrain)?;
                print(&format!("back {node}"));
            }
            RestartStep::Wait => sleep(POLL_INTERVAL),
            RestartStep::Done => return Ok(restart.progress().0),
            RestartStep::Stop(reason) => return Err(reason.into()),
        }
    }
}

/// The machines to restart: those named by the plan, or all registered ones if it names none.
fn nodes_of(plan: &RollingRestartArguments, view: &FleetView) -> Vec<NodeId> {
    if plan.nodes.is_empty() {
        return view.live.keys().cloned().collect();
    }
    let names = plan.nodes.iter();
    names.map(|name| NodeId::from(name.as_str())).collect()
}

/// Queries the controller until a call succeeds; fails after more than [`MAX_CALL_FAILURES`]
/// consecutive failures.
fn poll_view(address: SocketAddr) -> Result<FleetView, CallError> {
    let mut failures = 0;
    loop {
        match fetch_drains(address) {
            Ok(drains) => return Ok(parse_view(&drains)),
            Err(error) => {
                failures += 1;
                if failures > MAX_CALL_FAILURES {
                    return Err(error);
                }
                sleep(POLL_INTERVAL);
            }
        }
    }
}

fn order(address: SocketAddr, node: &NodeId, action: DrainAction) -> Result<(), CallError> {
    let order = DrainArguments {
        address: address.to_string(),
        action,
        nodes: vec![node.to_string()],
        zone: None,
    };
    order_drains(address, &order)?;
    Ok(())
}

/// Parses the view of the fleet from a controller's answer; a missing field is read as its default.
fn parse_view(drains: &Value) -> FleetView {
    let mut view = FleetView::default();
    for edge in rows(drains, "edges") {
        let node = NodeView {
            zone: ZoneName::from(text(edge, "zone")),
            incarnation: Incarnation(edge["incarnation"].as_u64().unwrap_or_default()),
        };
        view.live.insert(NodeId::from(text(edge, "node")), node);
    }
    for drain in rows(drains, "drains") {
        let is_drained = drain["state"] == "empty";
        view.drains
            .insert(NodeId::from(text(drain, "node")), is_drained);
    }
    view
}

fn rows<'a>(answer: &'a Value, key: &str) -> &'a [Value] {
    match &answer[key] {
        Value::Array(rows) => rows,
        _ => &[],
    }
}

fn text<'a>(row: &'a Value, key: &str) -> &'a str {
    row[key].as_str().unwrap_or_default()
}
