//! Shows the status of a controller.

use std::net::SocketAddr;

use serde_json::Value;

use crate::controller_call::{CallError, ControllerCall};
use crate::{print, print_error, render, ExitStatus};

/// Path of the status on a controller's `admin` address.
const STATUS_PATH: &str = "/-/status";

/// Asks the controller at `address` and prints its status.
pub(crate) fn show(address: &str, json: bool) -> ExitStatus {
    let Some(address) = parse_address(address) else {
        return ExitStatus::Usage;
    };
    match status_text(address, json) {
        Ok(text) => print(&text),
        Err(error) => {
            print_error(&format!("{address}: {error}"));
            ExitStatus::Failure
        }
    }
}

/// Reads `IP:PORT`; says so where it is none.
pub(crate) fn parse_address(text: &str) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        print_error(&format!("{text:?} is no address of the form IP:PORT"));
    }
    address
}

fn status_text(address: SocketAddr, json: bool) -> Result<String, CallError> {
    let body = ControllerCall::get(STATUS_PATH).send(address)?;
    if json {
        return Ok(String::from_utf8_lossy(&body).into_owned());
    }
    let status: Value = serde_json::from_slice(&body)?;
    Ok(render(&status))
}
