//! `drain`, `undrain`, `drains` and `roll` against a stub controller with fixed answers.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use common::{command, run};

/// Request line and body of a received request.
struct ReceivedRequest {
    line: String,
    body: String,
}

/// Starts a stub controller that serves one connection per answer, in order; the thread returns the
/// received requests.
fn start_controller(
    answers: Vec<(&'static str, &'static str)>,
) -> (SocketAddr, JoinHandle<Vec<ReceivedRequest>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = move |(status, body): (&str, &str)| {
        let (stream, _) = listener.accept().expect("a caller");
        let mut reader = BufReader::new(stream);
        let (mut head, mut length) = (Vec::new(), 0);
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).expect("a line");
            let lower = line.to_ascii_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().expect("a number");
            }
            if line.trim().is_empty() {
                break;
            }
            head.push(line);
        }
        let mut request_body = vec![0; length];
        reader.read_exact(&mut request_body).expect("the body");
        let answer = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        reader
            .get_mut()
            .write_all(answer.as_bytes())
            .expect("the caller reads");
        let body = String::from_utf8(request_body).expect("text");
        ReceivedRequest {
            line: head[0].trim().to_owned(),
            body,
        }
    };
    (
        address,
        thread::spawn(move || answers.into_iter().map(serve).collect()),
    )
}

const NONE: &str = r#"{"number":3,"drains":[],"edges":[]}"#;
const DRAINING: &str =
    r#"{"number":4,"drains":[{"node":"edge-1","number":4,"state":"leaving"}],"edges":[]}"#;

#[test]
fn an_order_has_the_number_of_the_latest_order() {
    let (address, served) = start_controller(vec![("200 OK", NONE), ("200 OK", DRAINING)]);
    let shown = run(command(&["drain", &address.to_string(), "edge-1"]));
    assert_eq!(shown.code, 0, "{}", shown.errors);
    assert!(
        shown.output.contains("edge-1") && shown.output.contains("leaving"),
        "{}",
        shown.output
    );
    let requests = served.join().expect("served");
    assert_eq!(requests[1].line, "POST /-/drains HTTP/1.1");
    let order: serde_json::Value = serde_json::from_str(&requests[1].body).expect("JSON");
    assert_eq!(order["expected"], 3);
    assert_eq!(
        (&order["leave"], &order["nodes"][0]),
        (&true.into(), &"edge-1".into())
    );
}

#[test]
fn a_rejection_is_printed_with_its_reason() {
    let refusal = r#"{"error":"too few edges would stay in service"}"#;
    let (address, served) = start_controller(vec![("200 OK", NONE), ("409 Conflict", refusal)]);
    let shown = run(command(&["drain", &address.to_string(), "--zone", "z"]));
    assert_eq!(shown.code, 1);
    assert!(
        shown.errors.contains("409") && shown.errors.contains("too few edges"),
        "{}",
        shown.errors
    );
    served.join().expect("served");
}

#[test]
fn drains_are_printed_as_received() {
    let (address, served) = start_controller(vec![("200 OK", DRAINING)]);
    let shown = run(command(&["drains", "--json", &address.to_string()]));
    assert_eq!(
        (shown.code, shown.output.contains(r#""state":"leaving""#)),
        (0, true)
    );
    served.join().expect("served");
}

#[test]
fn a_rolling_restart_drains_restarts_and_undrains() {
    let initial = r#"{"number":0,"drains":[],"edges":[{"node":"a","zone":"z","incarnation":1},{"node":"b","zone":"z","incarnation":1}]}"#;
    let drained = r#"{"number":1,"drains":[{"node":"a","number":1,"state":"empty"}],"edges":[{"node":"a","zone":"z","incarnation":1},{"node":"b","zone":"z","incarnation":1}]}"#;
    let restarted = r#"{"number":1,"drains":[{"node":"a","number":1,"state":"empty"}],"edges":[{"node":"a","zone":"z","incarnation":2},{"node":"b","zone":"z","incarnation":1}]}"#;
    let undrained = r#"{"number":2,"drains":[],"edges":[{"node":"a","zone":"z","incarnation":2},{"node":"b","zone":"z","incarnation":1}]}"#;
    // The drains are fetched at the start and before each step; each order fetches them once more.
    let bodies = [
        initial, initial, initial, drained, drained, restarted, restarted, undrained, undrained,
    ];
    let (address, served) = start_controller(bodies.map(|body| ("200 OK", body)).to_vec());
    let shown = run(command(&["roll", &address.to_string(), "a"]));
    assert_eq!(shown.code, 0, "{}", shown.errors);
    let printed: Vec<&str> = shown.output.lines().collect();
    assert_eq!(
        printed,
        [
            "drain a",
            "empty a: start it anew",
            "back a",
            "done: 1 forwarders"
        ]
    );
    let requests = served.join().expect("served");
    let orders: Vec<&ReceivedRequest> = requests
        .iter()
        .filter(|request| request.line.starts_with("POST"))
        .collect();
    assert_eq!(orders.len(), 2);
    assert!(
        orders[0].body.contains(r#""leave":true"#) && orders[1].body.contains(r#""leave":false"#)
    );
}

#[test]
fn a_rolling_restart_stops_when_a_machine_is_lost() {
    let both = r#"{"number":0,"drains":[],"edges":[{"node":"a","zone":"z","incarnation":1},{"node":"b","zone":"z","incarnation":1}]}"#;
    let one = r#"{"number":0,"drains":[],"edges":[{"node":"a","zone":"z","incarnation":1}]}"#;
    let (address, served) = start_controller(vec![("200 OK", both), ("200 OK", one)]);
    let shown = run(command(&["roll", &address.to_string(), "a"]));
    assert_eq!(shown.code, 1);
    assert!(shown.errors.contains("b is lost"), "{}", shown.errors);
    served.join().expect("served");
}
