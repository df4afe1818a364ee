//! `/-/config`: replaces and reads the operator's configuration.

use bytes::Bytes;
use hyper::header::IF_MATCH;
use hyper::{HeaderMap, Request, StatusCode};
use plankhill_configuration::{Configuration, Fault};
use plankhill_control::{Operation, Outcome};
use serde::Serialize;

use super::body::{max_body_length, read_body, BodyBudget, ReadableBody};
use super::response::{
    bad_request, body_error, error, ok, ok_json_text, unavailable, AdminResponse,
};
use super::OUTCOME_TIMEOUT;
use crate::control_log::ControlLog;
use crate::controller::Controller;

/// Maximum size of a configuration in bytes; sufficient for about 25,000 routes.
const MAX_CONFIGURATION_BYTES: usize = 8 << 20;

/// The response to a configuration that has been accepted, now or by an earlier request.
#[derive(Serialize)]
struct Accepted {
    version: u64,
}

/// Replaces the configuration. `If-Match` contains the version on which the new one is based.
pub(super) async fn put<L: ControlLog>(
    controller: &Controller<L>,
    budget: &BodyBudget,
    request: Request<impl ReadableBody>,
) -> AdminResponse {
    let (head, body) = request.into_parts();
    let Some(expected) = expected_version(&head.headers) else {
        return bad_request("If-Match: must be the version that the configuration builds on");
    };
    let max_length = match max_body_length(&body, MAX_CONFIGURATION_BYTES) {
        Ok(max_length) => max_length,
        Err(cause) => return body_error(cause),
    };
    let _reservation = match budget.reserve(max_length) {
        Ok(reservation) => reservation,
        Err(cause) => return body_error(cause),
    };
    match read_body(body, MAX_CONFIGURATION_BYTES).await {
        Ok(document) => put_document(controller, expected, document).await,
        Err(cause) => body_error(cause),
    }
}

/// Parses the version in `If-Match`, with or without quotes.
fn expected_version(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(IF_MATCH)?.to_str().ok()?;
    text.trim().trim_matches('"').parse().ok()
}

async fn put_document<L: ControlLog>(
    controller: &Controller<L>,
    expected: u64,
    document: Bytes,
) -> AdminResponse {
    if let Some(response) = respond_from_history(controller, expected, &document) {
        return response;
    }
    let version = match Configuration::parse(&document) {
        Ok(configuration) => configuration.version,
        Err(cause) => return bad_request(&cause.to_string()),
    };
    let operation = Operation::PutConfiguration {
        expected,
        version,
        document: document.as_ref().into(),
    };
    // The operation holds a copy, so the body does not need to stay in memory while waiting for the
    // outcome.
    drop(document);
    match controller.log().propose(operation, OUTCOME_TIMEOUT).await {
        Ok(outcome) => respond_to_outcome(outcome, version),
        Err(_) => unavailable(),
    }
}

/// Returns the response if this controller's committed state determines it without parsing the
/// document: the document was accepted before, or the version on which it is based is known to be
/// outdated.
fn respond_from_history<L: ControlLog>(
    controller: &Controller<L>,
    expected: u64,
    document: &[u8],
) -> Option<AdminResponse> {
    let known = controller.log().state().borrow().state.clone();
    let history = known.configuration_history();
    if let Some(version) = history.accepted_version(document) {
        return Some(respond_to_outcome(Outcome::Duplicate, version));
    }
    let current = history.current_version();
    // The version of a valid document is at least `expected + 1`.
    if expected < current && !history.may_have_been_trimmed(expected + 1) {
        return Some(respond_to_outcome(Outcome::Conflict { current }, expected));
    }
    None
}

fn respond_to_outcome(outcome: Outcome, version: u64) -> AdminResponse {
    match outcome {
        Outcome::Applied | Outcome::Duplicate => ok(&Accepted { version }),
        Outcome::Conflict { current } => {
            let reason = format!("If-Match: version {current} is current");
            error(StatusCode::PRECONDITION_FAILED, &reason)
        }
        Outcome::VersionNotIncreasing { current } => {
            let message = format!("{version} is not above the current version {current}");
            bad_request(&Fault::new("version", message).to_string())
        }
        Outcome::HistoryTrimmed => {
            let reason = "version: too old to tell whether this configuration was taken";
            error(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
        _ => unavailable(),
    }
}

/// Returns the newest configuration, byte for byte as it was submitted.
pub(super) async fn get<L: ControlLog>(controller: &Controller<L>) -> AdminResponse {
    let Ok(newest) = controller.log().read(OUTCOME_TIMEOUT).await else {
        return unavailable();
    };
    match newest.state.configuration() {
        Some(configuration) => {
            ok_json_text(Bytes::from_owner(configuration.document.text().clone()))
        }
        None => error(StatusCode::NOT_FOUND, "there is no configuration yet"),
    }
}
