//! Pins the numbers on which all proxies of a deployment have to agree, also while two versions
//! run: the hash of a target and the target's weight in a rendezvous order.

use plankhill_dispatch::rendezvous::{rendezvous_weight, target_hash};
use plankhill_protocol::ids::InstanceId;

const TARGETS: [&str; 4] = ["i-1", "i-00000001", "gpu-7.zone-b", ""];

#[test]
fn rendezvous_hashes_are_as_pinned() {
    let line = |id: &&str| {
        let hash = target_hash(&InstanceId::from(*id));
        format!(
            "{hash:016x} {:016x} {id}",
            rendezvous_weight(0x0123_4567_89ab_cdef, hash)
        )
    };
    let lines: Vec<String> = TARGETS.iter().map(line).collect();
    let expected: Vec<&str> = include_str!("wire_format/rendezvous.txt").lines().collect();
    assert_eq!(lines, expected);
}
