//! The command as a person or a pipe meets it.

use std::process::{Command, Output, Stdio};

use rstest::rstest;

fn plankhill(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_plankhill"))
        .args(words)
        .output()
        .expect("starts")
}

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

const SHORT: [&str; 4] = ["--set", "length=5000.0", "--set", "clients.rate=10"];

#[rstest]
fn a_day_is_played_and_summed_up() {
    let output = plankhill(&[&["emulate", "ordinary-day"], &SHORT[..]].concat());
    let text = String::from_utf8(output.stdout).expect("text");
    assert!(
        output.status.success() && text.contains("payoff") && text.contains("all six rules kept"),
        "{text}"
    );
}

#[rstest]
fn one_seed_prints_the_same_bytes_twice() {
    let play = |seed| {
        plankhill(
            &[
                &["emulate", "all-together", "--json", "--seed", seed],
                &SHORT[..],
            ]
            .concat(),
        )
        .stdout
    };
    assert_eq!(play("5"), play("5"));
    assert_ne!(play("5"), play("6"));
}

#[rstest]
#[case::no_such_scenario(&["emulate", "ordnary-day"], "the nearest is \"ordinary-day\"")]
#[case::no_such_file(&["emulate", "nowhere/day.toml"], "nowhere/day.toml: there is no such file")]
#[case::faulty_set(&["emulate", "ordinary-day", "--set", "forwarders.count=0"], "--set forwarders.count: 0 is not allowed")]
#[case::no_pair(&["emulate", "ordinary-day", "--set", "length"], "is not of the form KEY=VALUE")]
#[case::no_results(&["report", "/nowhere"], "/nowhere/experiment.toml")]
fn what_is_wrong_is_one_line_and_status_2(#[case] words: &[&str], #[case] message: &str) {
    let output = plankhill(words);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        said(&output).contains(message) && said(&output).trim_end().lines().count() == 1,
        "{}",
        said(&output)
    );
}

#[rstest]
fn a_reader_that_has_gone_is_no_panic() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_plankhill"))
        .args([&["emulate", "ordinary-day", "--json"], &SHORT[..]].concat())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    drop(child.stdout.take());
    let output = child.wait_with_output().expect("ends");
    assert!(
        output.status.success() && output.stderr.is_empty(),
        "{}",
        said(&output)
    );
}
