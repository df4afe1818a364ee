//! The byte before a command of fan-out in the control group's log, as the version in service writes it.

use plankhill_fanout::Command;
use rstest::rstest;

use super::{from_bytes, to_bytes};

#[rstest]
fn a_command_has_the_pinned_byte_before_it() {
    let command = Command::TimeUp(Vec::new());
    let bytes = to_bytes(&command);
    assert_eq!(bytes[0], 0x66);
    assert_eq!(bytes[1..], command.to_bytes());
    assert_eq!(
        from_bytes(&bytes).map(|read| to_bytes(&read)),
        Some(bytes.clone())
    );
    let others = [&[0x70], &bytes[1..]].concat();
    assert!(from_bytes(&others).is_none(), "a command of pools");
    assert!(from_bytes(&[]).is_none());
}
