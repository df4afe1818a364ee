//! Sends drain and undrain orders to a controller, and prints the drains.

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::arguments::{DrainAction, DrainArguments};
use crate::controller_call::{CallError, ControllerCall};
use crate::status::parse_address;
use crate::{print, print_error, render, ExitStatus, OutputFormat};

/// HTTP path of the drains on a controller's `admin` listener.
const DRAINS_PATH: &str = "/-/drains";

/// Sends an order that builds on the controller's latest one, and prints the resulting drains.
pub(crate) fn send_order(order: &DrainArguments) -> ExitStatus {
    let Some(address) = parse_address(&order.address) else {
        return ExitStatus::Usage;
    };
    print_answer(address, order_drains(address, order), OutputFormat::Text)
}

/// Fetches the drains and prints them.
pub(crate) fn show(address: &str, format: OutputFormat) -> ExitStatus {
    let Some(address) = parse_address(address) else {
        return ExitStatus::Usage;
    };
    print_answer(address, fetch_drains(address), format)
}

/// Fetches the drains from a controller, as JSON.
pub(crate) fn fetch_drains(address: SocketAddr) -> Result<Value, CallError> {
    let body = ControllerCall::get(DRAINS_PATH).send(address)?;
    Ok(serde_json::from_slice(&body)?)
}

/// Sends an order with the number of the controller's latest order, which the controller uses to
/// detect concurrent orders; returns the resulting drains.
pub(crate) fn order_drains(
    address: SocketAddr,
    order: &DrainArguments,
) -> Result<Value, CallError> {
    let expected = fetch_drains(address)?["number"]
        .as_u64()
        .unwrap_or_default();
    let order = json!({
        "expected": expected,
        "leave": order.action == DrainAction::Drain,
        "nodes": order.nodes,
        "zone": order.zone,
    });
    let body = ControllerCall::post(DRAINS_PATH, &order).send(address)?;
    Ok(serde_json::from_slice(&body)?)
}

fn print_answer(
    address: SocketAddr,
    answer: Result<Value, CallError>,
    format: OutputFormat,
) -> ExitStatus {
    match answer {
        Ok(drains) => print(&match format {
            OutputFormat::Json => drains.to_string(),
            OutputFormat::Text => render(&drains),
        }),
        Err(error) => {
            print_error(&format!("{address}: {error}"));
            ExitStatus::Failure
        }
    }
}
