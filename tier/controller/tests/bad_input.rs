//! Tests that malformed calls get a response and change no state.

mod common;

use common::{configuration, heartbeat, ControllerHarness};

const METHODS: [&str; 5] = ["GET", "PUT", "POST", "DELETE", "PATCH"];
const PATHS: [&str; 9] = [
    "/-/config",
    "/-/config/",
    "/-/instances/i-1",
    "/-/instances/i-1/x",
    "/-/instances/",
    "/-/retire/s1",
    "/-/retire/%00",
    "/-/status",
    "/",
];

/// Returns a valid body with some of its bytes changed, removed or duplicated.
fn malformed(
    random: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Vec<u8>> {
    let valid = if random.arbitrary()? {
        configuration(5)
    } else {
        heartbeat("healthy", 1)
    };
    let mut bytes = valid.into_bytes();
    for _ in 0..random.int_in_range(1..=4)? {
        let at = random.int_in_range(0..=bytes.len().max(1) - 1)?;
        match random.int_in_range(0..=2)? {
            0 => bytes.truncate(at),
            1 if at < bytes.len() => bytes[at] = random.arbitrary()?,
            _ => bytes.extend_from_within(at.min(bytes.len())..),
        }
    }
    Ok(bytes)
}

#[test]
fn malformed_calls_are_answered_and_change_nothing() {
    arbtest::arbtest(|random| {
        let harness = ControllerHarness::new();
        let method = METHODS[random.int_in_range(0..=METHODS.len() - 1)?];
        let path = PATHS[random.int_in_range(0..=PATHS.len() - 1)?];
        let response = harness.call(method, path, malformed(random)?);
        let status = response.status.as_u16();
        assert!(
            [200, 400, 404, 405, 409, 413].contains(&status),
            "{response:?}"
        );
        if status >= 400 {
            assert!(response.body.starts_with(r#"{"error":""#), "{response:?}");
            assert_eq!(harness.log.control_state().targets().len(), 0);
            assert_eq!(harness.log.control_state().configuration(), None);
        }
        Ok(())
    });
}

#[test]
fn a_malformed_configuration_is_in_force_only_if_it_is_acknowledged() {
    arbtest::arbtest(|random| {
        let harness = ControllerHarness::new();
        let body = malformed(random)?;
        let response = harness.put_configuration(0, body.clone());
        let control = harness.log.control_state();
        let in_force = control
            .configuration()
            .map(|configuration| configuration.document.to_vec());
        assert_eq!(in_force, response.status.is_success().then_some(body));
        Ok(())
    });
}
