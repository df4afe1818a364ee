//! Interpretation of a target's responses: the outcome of the attempt, and the load that the
//! response reports for the target.

use plankhill_decisions::interface::{AttemptOutcome, AttemptReport, Ms};
use plankhill_forwarder_config::LIMIT_REMAINING_COLUMN;
use plankhill_http1::ResponseHead;

use crate::call_kind::CallKind;

/// The remaining share of the target's limit that a response reports, as in
/// `Srv-Load: TEXT x0=0.4, x1=25`. None if the value cannot be parsed.
pub(super) fn limit_remaining(head: &ResponseHead) -> Option<f64> {
    let values = head.fields.one("Srv-Load").ok()??.strip_prefix("TEXT ")?;
    let value = values.split(',').find_map(|pair| {
        pair.trim()
            .strip_prefix(LIMIT_REMAINING_COLUMN)?
            .strip_prefix('=')
    })?;
    value.parse().ok()
}

/// Maps a response's status to the report of the call. The report of a health check contains no
/// retry-after.
pub(super) fn report(head: &ResponseHead, kind: CallKind) -> AttemptReport {
    let field = |name| head.fields.one(name).ok().flatten();
    match head.status {
        200 => AttemptReport::from_outcome(AttemptOutcome::Delivered),
        503 if field("X-No-Slot") == Some("1") => {
            AttemptReport::from_outcome(AttemptOutcome::NotSent)
        }
        429 | 503 => {
            let retry_after = match kind {
                CallKind::Attempt => field("X-Retry-In-Ms").and_then(parse_retry_after),
                CallKind::HealthCheck => None,
            };
            let rejected = AttemptReport::from_outcome(AttemptOutcome::Rejected);
            AttemptReport {
                retry_after: retry_after.unwrap_or(0.0),
                ..rejected
            }
        }
        410 => {
            let not_sent = AttemptReport::from_outcome(AttemptOutcome::NotSent);
            AttemptReport {
                event_complete: true,
                ..not_sent
            }
        }
        504 => AttemptReport::from_outcome(AttemptOutcome::NotSent),
        _ => AttemptReport::from_outcome(AttemptOutcome::Error),
    }
}

fn parse_retry_after(text: &str) -> Option<Ms> {
    let retry_after: Ms = text.parse().ok()?;
    (retry_after.is_finite() && retry_after > 0.0).then_some(retry_after)
}

#[cfg(test)]
mod tests;
