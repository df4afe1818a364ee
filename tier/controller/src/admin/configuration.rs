//! The operator's configuration: taking it and reading it back.

use bytes::Bytes;
use hyper::header::IF_MATCH;
use hyper::{HeaderMap, Request, StatusCode};
use plankhill_configuration::{Configuration, Fault};
use plankhill_control::{Operation, Outcome};
use serde::Serialize;

use super::answer::{failure, invalid, ok, ok_text, unavailable, unread, Answer};
use super::body::{announced_length, read_body, BodyBudget, ReadableBody};
use super::OUTCOME_TIMEOUT;
use crate::log::ControlLog;
use crate::process::Controller;

/// Largest configuration taken, in bytes: about 25,000 routes.
pub const MAX_CONFIGURATION_BYTES: usize = 8 << 20;

/// The answer to a configuration that is in force, or was.
#[derive(Serialize)]
struct Taken {
    version: u64,
}

/// Takes a configuration.
pub async fn put<L: ControlLog>(
    controller: &Controller<L>,
    budget: &BodyBudget,
    request: Request<impl ReadableBody>,
) -> Answer {
    let (head, body) = request.into_parts();
    let Some(expected) = expected_version(&head.headers) else {
        return invalid("If-Match: must be the version that the configuration builds on");
    };
    let held =
        announced_length(&body, MAX_CONFIGURATION_BYTES).and_then(|length| budget.take(length));
    let _held = match held {
        Ok(held) => held,
        Err(error) => return unread(error),
    };
    match read_body(body, MAX_CONFIGURATION_BYTES).await {
        Ok(document) => judge(controller, expected, document).await,
        Err(error) => unread(error),
    }
}

/// The version in `If-Match`, with or without quotes.
pub fn expected_version(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get(IF_MATCH)?.to_str().ok()?;
    text.trim().trim_matches('"').parse().ok()
}

async fn judge<L: ControlLog>(
    controller: &Controller<L>,
    expected: u64,
    document: Bytes,
) -> Answer {
    if let Some(answer) = answer_from_history(controller, expected, &document) {
        return answer;
    }
    let version = match Configuration::parse(&document) {
        Ok(configuration) => configuration.version,
        Err(error) => return invalid(&error.to_string()),
    };
    let operation = Operation::PutConfiguration {
        expected,
        version,
        document: document.as_ref().into(),
    };
    drop(document);
    match controller.log.propose(operation, OUTCOME_TIMEOUT).await {
        Ok(outcome) => answer_to(outcome, version),
        Err(_) => unavailable(),
    }
}

/// What the committed state known here settles without reading the document: it was taken before, or it builds
/// on a version that is surely not current any more.
fn answer_from_history<L: ControlLog>(
    controller: &Controller<L>,
    expected: u64,
    document: &[u8],
) -> Option<Answer> {
    let known = controller.log.state().borrow().state.clone();
    let history = known.configuration_history();
    if let Some(version) = history.taken_as(document) {
        return Some(answer_to(Outcome::Repeated, version));
    }
    let current = history.current_version();
    // Its own version is above the one that it builds on.
    let is_settled = expected < current && !history.may_have_forgotten(expected + 1);
    is_settled.then(|| answer_to(Outcome::Conflict { current }, expected))
}

fn answer_to(outcome: Outcome, version: u64) -> Answer {
    match outcome {
        Outcome::Applied | Outcome::Repeated => ok(&Taken { version }),
        Outcome::Conflict { current } => {
            let error = format!("If-Match: version {current} is current");
            failure(StatusCode::PRECONDITION_FAILED, &error)
        }
        Outcome::NotAbove { current } => {
            let message = format!("{version} is not above the current version {current}");
            invalid(&Fault::new("version", message).to_string())
        }
        Outcome::Forgotten => {
            let error = "version: too old to tell whether this configuration was taken";
            failure(StatusCode::SERVICE_UNAVAILABLE, error)
        }
        _ => unavailable(),
    }
}

/// The newest configuration, byte for byte as it was sent.
pub async fn get<L: ControlLog>(controller: &Controller<L>) -> Answer {
    let Ok(newest) = controller.log.read(OUTCOME_TIMEOUT).await else {
        return unavailable();
    };
    match newest.state.configuration() {
        Some(configuration) => ok_text(Bytes::from_owner(configuration.document.text().clone())),
        None => failure(StatusCode::NOT_FOUND, "there is no configuration yet"),
    }
}
