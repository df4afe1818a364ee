//! Pins the tag byte of a command of connection quotas in the control group's log, as deployed
//! versions write it.

use rstest::rstest;

use super::{tag_command, untag_command};

#[rstest]
fn a_command_starts_with_the_pinned_tag() {
    assert_eq!(tag_command(vec![0xab, 0x00]), [0x70, 0xab, 0x00]);
    assert_eq!(untag_command(&[0x70, 0xab, 0x00]), Some(&[0xab, 0x00][..]));
    assert_eq!(untag_command(&[0x66, 0xab]), None, "a command of fan-out");
    assert_eq!(untag_command(&[]), None);
}
