//! The demo, whole: processes of every role, a controller and a proxy killed, nothing seen of it.

mod common;

use common::{command, run};

#[test]
fn clients_see_nothing_of_a_killed_controller_and_a_killed_proxy() {
    let played = run(command(&["demo", "--programs", "16"]));
    assert_eq!(played.code, 0, "{}\n{}", played.output, played.errors);
    assert!(played.output.contains("programs       16 of 16 whole"), "{}", played.output);
    assert!(played.output.contains("killed the controller"), "{}", played.output);
    assert!(played.output.contains("killed the proxy"), "{}", played.output);
}
