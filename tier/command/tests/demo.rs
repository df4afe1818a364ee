//! The demo, whole: processes of every role, a proxy drained, a controller and a proxy killed,
//! nothing seen of it.

mod common;

use std::path::Path;

use common::{command, run};

/// A folder in memory, where the system has one. All machines of the demo share one disk; a sync on
/// the disk of a busy host can take seconds, which the tier takes for the loss of every machine at
/// once.
const MEMORY_FOLDER: &str = "/dev/shm";

#[test]
fn clients_see_nothing_of_a_drained_proxy_a_killed_controller_and_a_killed_proxy() {
    let mut demo = command(&["demo", "--programs", "16"]);
    if Path::new(MEMORY_FOLDER).is_dir() {
        demo.env("TMPDIR", MEMORY_FOLDER);
    }
    let played = run(demo);
    assert_eq!(played.code, 0, "{}\n{}", played.output, played.errors);
    assert!(
        played.output.contains("programs       16 of 16 whole"),
        "{}",
        played.output
    );
    assert!(
        played.output.contains("drained the proxy"),
        "{}",
        played.output
    );
    assert!(
        played.output.contains("took the proxy"),
        "{}",
        played.output
    );
    assert!(
        played.output.contains("killed the controller"),
        "{}",
        played.output
    );
    assert!(
        played.output.contains("killed the proxy"),
        "{}",
        played.output
    );
}
