//! Runs the complete demo: processes of every role, a proxy drained, a controller and a proxy
//! killed, without an effect on clients.

mod common;

use std::path::Path;

use common::{command, run};

/// An in-memory directory, used if it exists. All machines of the demo share one disk; a sync on the
/// disk of a busy host can take seconds, and the tier then detects the loss of all machines at once.
const MEMORY_DIRECTORY: &str = "/dev/shm";

#[test]
fn clients_are_not_affected_by_a_drained_proxy_a_killed_controller_or_a_killed_proxy() {
    let mut demo = command(&["demo", "--programs", "16"]);
    if Path::new(MEMORY_DIRECTORY).is_dir() {
        demo.env("TMPDIR", MEMORY_DIRECTORY);
    }
    let finished = run(demo);
    assert_eq!(finished.code, 0, "{}\n{}", finished.output, finished.errors);
    assert!(
        finished.output.contains("programs       16 of 16 whole"),
        "{}",
        finished.output
    );
    assert!(
        finished.output.contains("drained the proxy"),
        "{}",
        finished.output
    );
    assert!(
        finished.output.contains("took the proxy"),
        "{}",
        finished.output
    );
    assert!(
        finished.output.contains("killed the controller"),
        "{}",
        finished.output
    );
    assert!(
        finished.output.contains("killed the proxy"),
        "{}",
        finished.output
    );
}
