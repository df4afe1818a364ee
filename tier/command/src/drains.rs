//! Sends orders that drain forwarders or take them back into service, and shows the drains.

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::arguments::{DrainAction, DrainArguments};
use crate::controller_call::{CallError, ControllerCall};
use crate::status::parse_address;
use crate::{print, print_error, render, AnswerForm, ExitStatus};

/// Path of the drains on a controller's `admin` address.
const DRAINS_PATH: &str = "/-/drains";

/// Sends an order on top of the last one that the controller knows, and prints the drains after it.
pub(crate) fn send_order(order: &DrainArguments) -> ExitStatus {
    let Some(address) = parse_address(&order.address) else {
        return ExitStatus::Usage;
    };
    print_answer(address, order_drains(address, order), AnswerForm::Text)
}

/// Prints the drains.
pub(crate) fn show(address: &str, form: AnswerForm) -> ExitStatus {
    let Some(address) = parse_address(address) else {
        return ExitStatus::Usage;
    };
    print_answer(address, fetch_drains(address), form)
}

/// The drains, as the controller shows them.
pub(crate) fn fetch_drains(address: SocketAddr) -> Result<Value, CallError> {
    let body = ControllerCall::get(DRAINS_PATH).send(address)?;
    Ok(serde_json::from_slice(&body)?)
}

/// Sends an order; returns the drains after it.
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
    form: AnswerForm,
) -> ExitStatus {
    match answer {
        Ok(drains) => print(&match form {
            AnswerForm::Json => drains.to_string(),
            AnswerForm::Text => render(&drains),
        }),
        Err(error) => {
            print_error(&format!("{address}: {error}"));
            ExitStatus::Failure
        }
    }
}
