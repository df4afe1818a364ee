//! Pins the tag byte of a command of fan-out in the control group's log, as deployed versions write
//! it.

use plankhill_fanout::Command;
use rstest::rstest;

use super::{decode_command, encode_command};

#[rstest]
fn a_command_starts_with_the_pinned_tag() {
    let command = Command::TimeUp(Vec::new());
    let bytes = encode_command(&command);
    assert_eq!(bytes[0], 0x66);
    assert_eq!(bytes[1..], command.to_bytes());
    assert_eq!(
        decode_command(&bytes).map(|read| encode_command(&read)),
        Some(bytes.clone())
    );
    let others = [&[0x70], &bytes[1..]].concat();
    assert!(
        decode_command(&others).is_none(),
        "a command of connection quotas"
    );
    assert!(decode_command(&[]).is_none());
}
