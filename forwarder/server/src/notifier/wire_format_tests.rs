//! Pins the lines that report outcomes of events to the platform, as deployed versions write them.

use plankhill_decisions::interface::EventId;
use plankhill_event_log::Outcome;
use rstest::rstest;

use super::encode_notice;
use crate::messages::CompletionNotice;

#[rstest]
#[case(
    Outcome::Abandoned,
    None,
    "{\"message\":\"e \\\"1\\\"\",\"outcome\":\"given_up\"}\n"
)]
#[case(
    Outcome::Abandoned,
    Some(7.5),
    "{\"message\":\"e \\\"1\\\"\",\"outcome\":\"given_up\"}\n"
)]
#[case(
    Outcome::Rejected,
    None,
    "{\"message\":\"e \\\"1\\\"\",\"outcome\":\"handed_back\"}\n"
)]
#[case(
    Outcome::Rejected,
    Some(1_500.25),
    "{\"message\":\"e \\\"1\\\"\",\"outcome\":\"handed_back\",\"retry_in_ms\":1501}\n"
)]
fn a_notice_is_the_pinned_line(
    #[case] outcome: Outcome,
    #[case] retry_after: Option<f64>,
    #[case] expected: &str,
) {
    // No wildcard: a new outcome has to be pinned.
    match outcome {
        Outcome::Rejected | Outcome::Abandoned => (),
    }
    assert_eq!(
        encode_notice(&CompletionNotice {
            event: EventId("e \"1\"".into()),
            outcome,
            retry_after
        }),
        expected
    );
}
