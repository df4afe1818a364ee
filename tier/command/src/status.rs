//! Shows the status of a controller.

use std::net::SocketAddr;

use serde_json::Value;

use crate::controller_call::{CallError, ControllerCall};
use crate::{print, print_error, render, AnswerForm, ExitStatus};

/// Path of the status on a controller's `admin` address.
const STATUS_PATH: &str = "/-/status";

/// Asks the controller at `address` and prints its status.
pub(crate) fn show(address: &str, form: AnswerForm) -> ExitStatus {
    let Some(address) = parse_address(address) else {
        return ExitStatus::Usage;
    };
    match status_text(address, form) {
        Ok(text) => print(&text),
        Err(error) => {
            print_error(&format!("{address}: {error}"));
            ExitStatus::Failure
        }
    }
}

/// Parses `IP:PORT`; prints an error if `text` has another form.
pub(crate) fn parse_address(text: &str) -> Option<SocketAddr> {
    let address = text.parse().ok();
    if address.is_none() {
        print_error(&format!("{text:?} is no address of the form IP:PORT"));
    }
    address
}

fn status_text(address: SocketAddr, form: AnswerForm) -> Result<String, CallError> {
    let body = ControllerCall::get(STATUS_PATH).send(address)?;
    match form {
        AnswerForm::Json => Ok(String::from_utf8_lossy(&body).into_owned()),
        AnswerForm::Text => {
            let status: Value = serde_json::from_slice(&body)?;
            Ok(render(&status))
        }
    }
}
