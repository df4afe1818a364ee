//! `status` against a stub controller with a fixed answer.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use common::{command, run, Run};

const BODY: &str = r#"{"version":7,"view":{"number":2,"chain":["core-1","core-2"]}}"#;

/// Accepts one connection, reads the head of a request, and writes `answer`.
fn serve_once(answer: String) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address");
    let served = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("one caller");
        let mut head = Vec::new();
        let mut chunk = [0; 512];
        while !head.ends_with(b"\r\n\r\n") {
            let length = stream
                .read(&mut chunk)
                .expect("the caller sends its request");
            assert_ne!(length, 0, "the caller closed the connection");
            head.extend_from_slice(&chunk[..length]);
        }
        stream
            .write_all(answer.as_bytes())
            .expect("the caller reads the answer");
        String::from_utf8_lossy(&head).into_owned()
    });
    (address, served)
}

fn answer(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn status_of(answer: String, options: &[&str]) -> Run {
    let (address, served) = serve_once(answer);
    let address = address.to_string();
    let shown = run(command(&[&["status", &address], options].concat()));
    let head = served.join().expect("the call was served");
    assert!(head.starts_with("GET /-/status HTTP/1.1\r\n"), "{head}");
    shown
}

#[test]
fn a_status_is_printed_as_text() {
    let shown = status_of(answer("200 OK", BODY), &[]);
    assert_eq!(shown.code, 0, "{}", shown.errors);
    assert!(shown.output.contains("version: 7"), "{}", shown.output);
    assert!(shown.output.contains("core-1, core-2"), "{}", shown.output);
}

#[test]
fn a_status_is_printed_as_received_with_json() {
    let shown = status_of(answer("200 OK", BODY), &["--json"]);
    assert_eq!((shown.code, shown.output.trim()), (0, BODY));
}

#[test]
fn rejections_and_malformed_answers_are_failures() {
    let refused = status_of(answer("503 Service Unavailable", ""), &[]);
    assert_eq!(refused.code, 1);
    assert!(refused.errors.contains("503"), "{}", refused.errors);
    let malformed = status_of(answer("200 OK", "{"), &[]);
    assert_eq!(malformed.code, 1);
    assert!(malformed.errors.contains("JSON"), "{}", malformed.errors);
    let truncated = status_of(
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}".to_owned(),
        &[],
    );
    assert_eq!(truncated.code, 1);
}

#[test]
fn a_refused_connection_is_a_failure() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener
        .local_addr()
        .expect("a bound socket has an address")
        .to_string();
    drop(listener);
    let shown = run(command(&["status", &address]));
    assert_eq!(shown.code, 1);
    assert!(shown.errors.contains(&address), "{}", shown.errors);
}

#[test]
fn an_invalid_address_is_a_usage_error() {
    assert_eq!(run(command(&["status", "somewhere"])).code, 2);
}
