//! Tests of the load report of a response.

use plankhill_http1::ResponseHead;
use rstest::rstest;

use super::limit_remaining;

#[rstest]
#[case::reported("Srv-Load: TEXT x0=0.4, x1=25", Some(0.4))]
#[case::other_order("srv-load: TEXT x1=25, x0=1", Some(1.0))]
#[case::absent("Other: 1", None)]
#[case::no_number("Srv-Load: TEXT x0=much, x1=1", None)]
#[case::malformed("Srv-Load: \u{1}", None)]
#[case::unknown_format("Srv-Load: 0.4", None)]
fn the_remaining_share_is_parsed_or_none(#[case] line: &str, #[case] remaining: Option<f64>) {
    let head = format!("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n{line}\r\n\r\n");
    let head = ResponseHead::read(head.as_bytes()).expect("a valid head");
    assert_eq!(limit_remaining(&head), remaining);
}
