//! Parsing of complete, split and malformed messages.

use plankhill_http1::{
    write_request, write_response, Body, ChunkedDecoder, HeadSearch, RequestHead, ResponseHead,
};
use rstest::rstest;

const GOOD: &str =
    "POST /a/b?c HTTP/1.1\r\nHost: x\r\nCookie: z=1; about=7f\r\nContent-Length:  3 \r\n\r\nabc";

#[rstest]
fn a_head_is_found_however_it_is_split() {
    let end = GOOD.len() - 3;
    for cut in 1..GOOD.len() {
        let mut search = HeadSearch::default();
        let first = search.end(&GOOD.as_bytes()[..cut]);
        assert_eq!(first, (cut >= end).then_some(end));
        assert_eq!(
            search.end(GOOD.as_bytes()),
            first.is_none().then_some(end),
            "cut at {cut}"
        );
    }
    let head = RequestHead::read(&GOOD.as_bytes()[..end]).expect("good");
    assert_eq!(
        (head.method, head.path(), head.body),
        ("POST", "/a/b", Body::Length(3))
    );
    assert_eq!(
        (head.fields.cookie("about"), head.closes),
        (Some("7f"), false)
    );
}

#[rstest]
#[case("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 1\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost: x\r\nName : v\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n")]
#[case("GET / HTTP/1.1\r\nHost: x\r\nName: a\nb\r\n\r\n")]
#[case("GET / HTTP/1.1\r\n\r\n")]
#[case("GET  / HTTP/1.1\r\nHost: x\r\n\r\n")]
#[case("GET / HTTP/2.0\r\nHost: x\r\n\r\n")]
#[case("G@T / HTTP/1.1\r\nHost: x\r\n\r\n")]
fn a_head_that_two_parsers_could_read_differently_is_rejected(#[case] head: &str) {
    assert!(RequestHead::read(head.as_bytes()).is_err());
}

#[rstest]
#[case("/a?b", "/a")]
#[case("http://host:1/a/b#c", "/a/b")]
#[case("http://host", "/")]
fn a_request_target_may_have_an_address(#[case] target: &str, #[case] path: &str) {
    let head = format!("GET {target} HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(
        RequestHead::read(head.as_bytes()).expect("good").path(),
        path
    );
}

#[rstest]
#[case(
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
    200,
    Body::Length(2),
    false
)]
#[case("HTTP/1.1 204 No Content\r\n\r\n", 204, Body::Length(0), false)]
#[case(
    "HTTP/1.1 503 \r\nConnection: Close\r\nContent-Length: 0\r\n\r\n",
    503,
    Body::Length(0),
    true
)]
#[case("HTTP/1.1 200 OK\r\n\r\n", 200, Body::UntilClose, true)]
#[case(
    "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    200,
    Body::Length(0),
    true
)]
fn responses_are_read(
    #[case] head: &str,
    #[case] status: u16,
    #[case] body: Body,
    #[case] closes: bool,
) {
    let read = ResponseHead::read(head.as_bytes()).expect("good");
    assert_eq!(
        (read.status, read.body, read.closes),
        (status, body, closes)
    );
    assert_eq!(
        ResponseHead::status_in(head.split_inclusive('\n').next().unwrap().as_bytes()),
        Some(status)
    );
}

#[rstest]
#[case("HTTP/1.1 20 OK\r\n\r\n")]
#[case("HTTP/1.1 099 OK\r\n\r\n")]
#[case("ICY 200 OK\r\n\r\n")]
#[case("HTTP/1.1 200 OHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")]
#[case("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")]
fn malformed_responses_are_rejected(#[case] head: &str) {
    assert!(ResponseHead::read(head.as_bytes()).is_err());
}

/// The connection had half a line of other data: the response follows it in the same line, and its status can't be
/// determined.
#[rstest]
#[case("HTTP/1.1 200 OHTTP/1.1 503 Full\r\n")]
#[case("HTTP/1.1 200HTTP/1.1 200 OK\r\n")]
fn a_first_line_within_another_has_no_status(#[case] line: &str) {
    assert_eq!(ResponseHead::status_in(line.as_bytes()), None);
}

#[rstest]
fn chunks_are_decoded_in_place_however_they_are_split() {
    let coded = b"3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\nNEXT";
    for cut in 0..coded.len() {
        let mut bytes = coded.to_vec();
        let (mut chunks, mut read, mut write) = (ChunkedDecoder::default(), 0, 0);
        let complete = cut >= coded.len() - 4;
        assert_eq!(
            chunks.decode(&mut bytes, &mut read, &mut write, cut),
            Ok(complete),
            "cut at {cut}"
        );
        assert_eq!(
            chunks.decode(&mut bytes, &mut read, &mut write, coded.len()),
            Ok(true)
        );
        assert_eq!(
            (&bytes[..write], &bytes[read..]),
            (&b"abc0123456789"[..], &b"NEXT"[..])
        );
    }
}

#[rstest]
#[case("x\r\n")]
#[case("\r\n")]
#[case("123456789\r\n")]
#[case("1\r\nab\r\n")]
fn malformed_chunks_are_rejected(#[case] coded: &str) {
    let mut bytes = coded.as_bytes().to_vec();
    let (mut read, mut write, end) = (0, 0, bytes.len());
    assert!(ChunkedDecoder::default()
        .decode(&mut bytes, &mut read, &mut write, end)
        .is_err());
}

#[rstest]
fn written_heads_can_be_parsed() {
    let mut out = Vec::new();
    write_request(
        &mut out,
        "POST",
        "/receive",
        &[("Host", &"h"), ("Req-Id", &7)],
        5,
    )
    .expect("fits");
    let head = RequestHead::read(&out).expect("good");
    assert_eq!(
        (head.body, head.fields.one("req-id")),
        (Body::Length(5), Ok(Some("7")))
    );
    out.clear();
    write_response(&mut out, 503, &[("Retry-After", &"1.5")], 0).expect("fits");
    assert_eq!(
        ResponseHead::read(&out)
            .expect("good")
            .fields
            .one("Retry-After"),
        Ok(Some("1.5"))
    );
}
