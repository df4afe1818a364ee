//! Runs the command: its output, its error messages and its exit statuses.

use std::process::{Command, Output, Stdio};

use rstest::rstest;

fn plankhill(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_plankhill"))
        .args(arguments)
        .output()
        .expect("starts")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

const SHORT_RUN: [&str; 4] = ["--set", "length=5000.0", "--set", "clients.rate=10"];

#[rstest]
fn a_scenario_is_run_and_summarized() {
    let output = plankhill(&[&["emulate", "ordinary-day"], &SHORT_RUN[..]].concat());
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(
        output.status.success() && text.contains("payoff") && text.contains("all six rules kept"),
        "{text}"
    );
}

#[rstest]
fn one_seed_prints_the_same_bytes_twice() {
    let run = |seed| {
        plankhill(
            &[
                &["emulate", "all-together", "--json", "--seed", seed],
                &SHORT_RUN[..],
            ]
            .concat(),
        )
        .stdout
    };
    assert_eq!(run("5"), run("5"));
    assert_ne!(run("5"), run("6"));
}

#[rstest]
#[case::no_such_scenario(&["emulate", "ordnary-day"], "the nearest is \"ordinary-day\"")]
#[case::no_such_file(&["emulate", "nowhere/day.toml"], "nowhere/day.toml: there is no such file")]
#[case::faulty_set(&["emulate", "ordinary-day", "--set", "forwarders.count=0"], "--set forwarders.count: 0 is not allowed")]
#[case::no_value(&["emulate", "ordinary-day", "--set", "length"], "is not of the form KEY=VALUE")]
#[case::no_results(&["report", "/nowhere"], "/nowhere/experiment.toml")]
fn invalid_arguments_give_one_line_and_status_2(#[case] arguments: &[&str], #[case] message: &str) {
    let output = plankhill(arguments);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains(message) && stderr(&output).trim_end().lines().count() == 1,
        "{}",
        stderr(&output)
    );
}

#[rstest]
fn a_closed_standard_output_causes_no_panic() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_plankhill"))
        .args([&["emulate", "ordinary-day", "--json"], &SHORT_RUN[..]].concat())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("ends");
    assert!(
        output.status.success() && output.stderr.is_empty(),
        "{}",
        stderr(&output)
    );
}
