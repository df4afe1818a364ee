//! Pins the bytes of the datagrams between agents. `tests/wire_format/datagram.txt` contains one
//! line `Variant hex` per datagram, written by the version before the variants were renamed. No
//! test rewrites the file.

use plankhill_membership::datagram::Datagram;
use plankhill_protocol::ids::NodeId;

/// Returns the name of a variant in the fixture. The match is exhaustive, so that a new variant
/// fails to compile here until it is added to the fixture.
fn fixture_name(datagram: &Datagram) -> &'static str {
    match datagram {
        Datagram::Probe { .. } => "Probe",
        Datagram::ProbeRequest { .. } => "Relay",
        Datagram::Ack { .. } => "Alive",
    }
}

fn from_hex(hex: &str) -> Vec<u8> {
    assert_eq!(hex.len() % 2, 0, "odd number of hex digits: {hex}");
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

#[test]
fn datagrams_keep_their_bytes() {
    let datagrams = [
        Datagram::Probe {
            sequence: 300,
            to: NodeId::from("edge-2"),
        },
        Datagram::ProbeRequest {
            sequence: u64::MAX,
            about: NodeId::from("edge-3"),
        },
        Datagram::Ack { sequence: 301 },
    ];
    let pinned: Vec<(&str, Vec<u8>)> = include_str!("wire_format/datagram.txt")
        .lines()
        .map(|line| line.split_once(' ').unwrap())
        .map(|(name, hex)| (name, from_hex(hex)))
        .collect();
    let encoded: Vec<(&str, Vec<u8>)> = datagrams
        .iter()
        .map(|datagram| {
            (
                fixture_name(datagram),
                postcard::to_stdvec(datagram).unwrap(),
            )
        })
        .collect();
    assert_eq!(encoded, pinned);
    for (datagram, (name, bytes)) in datagrams.iter().zip(&pinned) {
        assert_eq!(
            postcard::from_bytes::<Datagram>(bytes).unwrap(),
            *datagram,
            "{name}"
        );
    }
}
