//! The adapter as a process: a reply for each input line, or an error message and a non-zero exit
//! status.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

const ENV: &str = r#"{"allowed":{"attemptsCap":6,"maxOpen":20,"probes":true,"new":1},"balancers":2,"me":0,
"familyInfo":{"slots":4},"profiles":[{"name":"p","semantics":"pure","aimUs":1000000,"deadlineUs":9000000,
"credit":1,"lateWorth":0.1}],"rules":{"coldFrom":0.2,"coldUs":9000000,"tipMultiple":2},
"shapes":["k"],"zones":["z"]}"#;
const PAGE: &str = r#"{"cmd":"page","list":0,"items":[{"target":"T","campus":"z","kind":"k","belongsTo":5,
"mode":"Running","unknown":true}]}"#;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_plankhill-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let text: String = lines
        .iter()
        .map(|line| line.replace('\n', "") + "\n")
        .collect();
    let _ = child
        .stdin
        .take()
        .expect("piped")
        .write_all(text.as_bytes());
    child.wait_with_output().expect("ends")
}

fn batch(ts: u64, arrivals: &str) -> String {
    format!(r#"{{"tsUs":{ts},"arrivals":[{arrivals}]}}"#)
}

fn opening() -> String {
    let open = format!(r#"{{"cmd":"openInstance","who":3,"entropy":1,"env":{ENV}}}"#);
    batch(
        1000,
        &format!(
            r#"{open},{PAGE},{{"cmd":"fleet","who":3,"mode":"Persisted","version":1,"list":0}}"#
        ),
    )
}

fn submit(who: u64) -> String {
    let event = r#""xid":"c:a","toDest":5,"tierClass":"p","deadlineUs":9000000"#;
    batch(2000, &format!(r#"{{"cmd":"submit","who":{who},{event}}}"#))
}

#[rstest]
fn an_event_is_sent_and_the_adapter_exits_cleanly_at_the_end_of_input() {
    let out = run(&[batch(0, ""), opening(), submit(3)]);
    assert!(out.status.success());
    let replies = String::from_utf8(out.stdout).expect("UTF-8");
    let replies: Vec<&str> = replies.lines().collect();
    assert_eq!(replies[..2], [r#"{"decisions":[]}"#; 2]);
    assert!(replies[2].contains(r#""cmd":"callOut""#) && replies[2].contains(r#""target":"T""#));
}

#[rstest]
fn an_on_request_list_is_requested_and_requested_again_after_a_failure() {
    let opened = opening().replace(
        r#""balancers":2"#,
        r#""balancers":2,"discovery":"on_request""#,
    );
    let ring = r#"{"cmd":"ring","who":3,"label":1}"#;
    let failed = r#"{"cmd":"fleet","who":3,"mode":"Error","version":0}"#;
    let lines = [
        opened,
        batch(3000, ring),
        batch(4000, failed),
        batch(5000, ring),
    ];
    let out = String::from_utf8(run(&lines).stdout).expect("UTF-8");
    let replies: Vec<&str> = out.lines().collect();
    let has_command =
        |at: usize, command: &str| replies[at].contains(&format!(r#""cmd":"{command}""#));
    assert!(
        has_command(0, "defer")
            && has_command(1, "track")
            && has_command(2, "defer")
            && has_command(3, "track"),
        "{out}"
    );
}

#[rstest]
fn an_instance_restarted_within_one_batch_has_no_earlier_events() {
    let open = opening();
    let again = open.replace(r#""arrivals":["#, r#""arrivals":[{"cmd":"down","who":3},"#);
    let late = r#"{"cmd":"outcome","who":3,"xid":"c:a","leg":0,"target":"T","stateCode":10}"#;
    let out = run(&[open.clone(), submit(3), again, batch(3000, late)]);
    assert!(!out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains("outcome: the event was never named"));
}

#[rstest]
#[case("what", "line 1: not a JSON value")]
#[case(r#"{"tsUs":1}"#, "arrivals: a list is missing")]
#[case(r#"{"arrivals":[]}"#, "tsUs: a number is missing")]
#[case(
    r#"{"tsUs":1,"arrivals":[{"cmd":"ring","who":9}]}"#,
    "arrivals[0]: ring: instance 9 was never started"
)]
#[case(
    r#"{"tsUs":1,"arrivals":[{"cmd":"openInstance","who":1,"entropy":1,"env":{}}]}"#,
    "env.allowed"
)]
fn an_invalid_batch_is_reported(#[case] line: &str, #[case] message: &str) {
    let out = run(&[line.to_owned()]);
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success());
    assert!(
        error.contains(message) && !error.contains("panicked"),
        "{error}"
    );
}

#[rstest]
#[case(r#"{"cmd":"dance","who":3}"#, "unknown event \"dance\"")]
#[case(
    r#"{"cmd":"probeResult","who":3,"target":"X","stateCode":10}"#,
    "the target was never named"
)]
#[case(
    r#"{"cmd":"fleet","who":3,"mode":"Partial","version":2,"list":7}"#,
    "no page 7"
)]
fn an_unknown_command_or_id_is_reported(#[case] arrival: &str, #[case] message: &str) {
    let out = run(&[opening(), batch(3000, arrival)]);
    let error = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(
        !out.status.success() && error.contains("line 2") && error.contains(message),
        "{error}"
    );
}
