//! Shows the status of a controller.

use std::net::SocketAddr;

use serde_json::Value;

use crate::status_call::{fetch, StatusError};
use crate::{print, print_error, render, ExitStatus};

/// Asks the controller at `address` and prints its status.
pub(crate) fn show(address: &str, json: bool) -> ExitStatus {
    let Ok(address) = address.parse::<SocketAddr>() else {
        print_error(&format!("{address:?} is no address of the form IP:PORT"));
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

fn status_text(address: SocketAddr, json: bool) -> Result<String, StatusError> {
    let body = fetch(address)?;
    if json {
        return Ok(String::from_utf8_lossy(&body).into_owned());
    }
    let status: Value = serde_json::from_slice(&body)?;
    Ok(render(&status))
}
