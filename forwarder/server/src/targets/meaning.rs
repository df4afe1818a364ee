//! What a target's answers mean.

use plankhill_decisions::interface::*;
use plankhill_forwarder_config::LEFT;
use plankhill_http1::ResponseHead;

/// The share of its limit that an answer reports as left, `Srv-Load: TEXT x0=0.4, x1=25`; what can't be read
/// reports nothing.
pub(super) fn left(head: &ResponseHead) -> Option<f64> {
    let values = head.fields.one("Srv-Load").ok()??.strip_prefix("TEXT ")?;
    let value = values
        .split(',')
        .find_map(|pair| pair.trim().strip_prefix(LEFT)?.strip_prefix('='))?;
    value.parse().ok()
}

/// What the wire's statuses mean. An answer to a ping says no more than that.
pub(super) fn judge(head: &ResponseHead, ping: bool) -> AttemptReport {
    let field = |name| head.fields.one(name).ok().flatten();
    match head.status {
        200 => AttemptReport::from_outcome(AttemptOutcome::Delivered),
        503 if field("X-No-Slot") == Some("1") => {
            AttemptReport::from_outcome(AttemptOutcome::NotSent)
        }
        429 | 503 => {
            let wait = field("X-Retry-In-Ms").and_then(|text| text.parse::<Ms>().ok());
            let wait = wait
                .filter(|wait| wait.is_finite() && *wait > 0.0 && !ping)
                .unwrap_or(0.0);
            AttemptReport {
                retry_after: wait,
                ..AttemptReport::from_outcome(AttemptOutcome::Rejected)
            }
        }
        410 => AttemptReport {
            event_complete: true,
            ..AttemptReport::from_outcome(AttemptOutcome::NotSent)
        },
        504 => AttemptReport::from_outcome(AttemptOutcome::NotSent),
        _ => AttemptReport::from_outcome(AttemptOutcome::Error),
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    #[rstest]
    #[case::told("Srv-Load: TEXT x0=0.4, x1=25", Some(0.4))]
    #[case::other_order("srv-load: TEXT x1=25, x0=1", Some(1.0))]
    #[case::absent("Other: 1", None)]
    #[case::no_number("Srv-Load: TEXT x0=much, x1=1", None)]
    #[case::spoilt("Srv-Load: \u{1}", None)]
    #[case::another_form("Srv-Load: 0.4", None)]
    fn the_share_that_is_left_is_read_or_nothing_is(#[case] line: &str, #[case] left: Option<f64>) {
        let head = format!("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n{line}\r\n\r\n");
        let head = super::ResponseHead::read(head.as_bytes()).expect("is a head");
        assert_eq!(super::left(&head), left);
    }
}
