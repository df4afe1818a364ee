//! Takes forwarders out of service and back, and shows which are.

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::arguments::DrainArguments;
use crate::controller_call::{CallError, ControllerCall};
use crate::status::parse_address;
use crate::{print, print_error, render, ExitStatus};

/// Path of the orders on a controller's `admin` address.
const DRAINS_PATH: &str = "/-/drains";

/// Sends an order on top of the last one that the controller knows, and prints what is out of service then.
pub(crate) fn order(order: &DrainArguments) -> ExitStatus {
    let Some(address) = parse_address(&order.address) else {
        return ExitStatus::Usage;
    };
    finish(address, send(address, order).map(|list| render(&list)))
}

/// Prints what is out of service.
pub(crate) fn show(address: &str, json: bool) -> ExitStatus {
    let Some(address) = parse_address(address) else {
        return ExitStatus::Usage;
    };
    let shown = |list: Value| {
        if json {
            list.to_string()
        } else {
            render(&list)
        }
    };
    finish(address, list(address).map(shown))
}

/// What is out of service, as the controller shows it.
pub(crate) fn list(address: SocketAddr) -> Result<Value, CallError> {
    let body = ControllerCall::get(DRAINS_PATH).send(address)?;
    Ok(serde_json::from_slice(&body)?)
}

/// Sends an order; what is out of service then.
pub(crate) fn send(address: SocketAddr, order: &DrainArguments) -> Result<Value, CallError> {
    let expected = list(address)?["number"].as_u64().unwrap_or_default();
    let order = json!({"expected": expected, "leave": order.leave, "nodes": order.nodes, "zone": order.zone});
    let body = ControllerCall::post(DRAINS_PATH, &order).send(address)?;
    Ok(serde_json::from_slice(&body)?)
}

fn finish(address: SocketAddr, text: Result<String, CallError>) -> ExitStatus {
    match text {
        Ok(text) => print(&text),
        Err(error) => {
            print_error(&format!("{address}: {error}"));
            ExitStatus::Failure
        }
    }
}
