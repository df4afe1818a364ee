//! Prints the status of a controller.

use std::net::SocketAddr;

use serde_json::Value;

use crate::controller_call::{CallError, ControllerCall};
use crate::{print, print_error, render, ExitStatus, OutputFormat};

/// HTTP path of the status on a controller's `admin` listener.
const STATUS_PATH: &str = "/-/status";

/// Queries the controller at `address` and prints its status.
pub(crate) fn show(address: &str, format: OutputFormat) -> ExitStatus {
    let Some(address) = parse_address(address) else {
        return ExitStatus::Usage;
    };
    match status_text(address, format) {
        Ok(text) => print(&text),
        Err(error) => {
            print_error(&format!("{address}: {error}"));
            ExitStatus::Failure
        }
    }
}

/// Parses `IP:PORT`; prints an error if `text` is not of this form.
pub(crate) fn parse_address(text: &str) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        print_error(&format!("{text:?} is not an address of the form IP:PORT"));
    }
    address
}

fn status_text(address: SocketAddr, format: OutputFormat) -> Result<String, CallError> {
    let body = ControllerCall::get(STATUS_PATH).send(address)?;
    match format {
        OutputFormat::Json => Ok(String::from_utf8_lossy(&body).into_owned()),
        OutputFormat::Text => {
            let status: Value = serde_json::from_slice(&body)?;
            Ok(render(&status))
        }
    }
}
