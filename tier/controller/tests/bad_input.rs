//! Malformed calls get a response and change nothing.

mod common;

use common::{configuration, heartbeat, Tester};

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

/// A proper body with some of its bytes changed, cut off or doubled.
fn malformed(
    random: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Vec<u8>> {
    let whole = if random.arbitrary()? {
        configuration(5)
    } else {
        heartbeat("healthy", 1)
    };
    let mut bytes = whole.into_bytes();
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
        let tester = Tester::new();
        let method = METHODS[random.int_in_range(0..=METHODS.len() - 1)?];
        let path = PATHS[random.int_in_range(0..=PATHS.len() - 1)?];
        let answered = tester.call(method, path, malformed(random)?);
        let status = answered.status.as_u16();
        assert!(
            [200, 400, 404, 405, 409, 413].contains(&status),
            "{answered:?}"
        );
        if status >= 400 {
            assert!(answered.body.starts_with(r#"{"error":""#), "{answered:?}");
            assert_eq!(tester.log.control().targets().len(), 0);
            assert_eq!(tester.log.control().configuration(), None);
        }
        Ok(())
    });
}

#[test]
fn a_malformed_configuration_is_in_force_only_if_it_is_acknowledged() {
    arbtest::arbtest(|random| {
        let tester = Tester::new();
        let body = malformed(random)?;
        let answered = tester.put_configuration(0, body.clone());
        let control = tester.log.control();
        let in_force = control
            .configuration()
            .map(|configuration| configuration.document.to_vec());
        assert_eq!(in_force, answered.status.is_success().then_some(body));
        Ok(())
    });
}
