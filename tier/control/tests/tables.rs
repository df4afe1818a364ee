//! Tests that the changes between two states turn the tables of the earlier state into those of the
//! later one.

mod common;

use common::{apply, draining, edge, put, register, store, synced, target};
use plankhill_control::{build_tables, diff_tables, ControlState, Operation};
use plankhill_protocol::ids::{Incarnation, InstanceId, NodeId, Revision, ServiceName};
use plankhill_protocol::tables::{Tables, TablesUpdate, Target};

fn any_operation(
    random: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Operation> {
    let name = ["x", "y", "z"][random.int_in_range(0..=2)?];
    let number = random.int_in_range(1..=9)?;
    let port = random.int_in_range(80..=83)?;
    Ok(match random.int_in_range(0..=8)? {
        0 => Operation::RegisterTarget(target(name, port, number)),
        1 => Operation::RegisterTarget(draining(name, port, number)),
        2 => Operation::RegisterTarget(Target {
            service: ServiceName::from("tools"),
            ..target(name, port, number)
        }),
        3 => Operation::DeregisterTarget(InstanceId::from(name)),
        4 => Operation::RegisterEdge(edge(name, number)),
        5 => Operation::DeregisterEdge {
            node: NodeId::from(name),
            incarnation: Incarnation(number),
        },
        6 => register(&store(name, number)),
        7 => synced(&store(name, number), number),
        _ => put(number, number + 1, name),
    })
}

#[test]
fn changes_and_snapshot_give_the_same_tables() {
    arbtest::arbtest(|random| {
        let mut state = ControlState::default();
        let mut received = Tables::default();
        let mut sent = state.clone();
        for step in 1..=random.int_in_range(1..=40)? {
            apply(&mut state, &any_operation(random)?);
            if random.arbitrary()? {
                let (from, to) = (received.revision, Revision(step));
                let changes = diff_tables(&sent, &state);
                let update = TablesUpdate::Changes { from, to, changes };
                assert_eq!(received.apply(update), Ok(()));
                assert_eq!(received, build_tables(&state, to));
                sent = state.clone();
            }
        }
        Ok(())
    });
}

#[test]
fn a_state_is_decoded_from_its_encoding() {
    let mut state = ControlState::default();
    for operation in [
        put(0, 3, "{}"),
        Operation::RegisterTarget(target("x", 80, 1)),
        register(&store("s", 1)),
    ] {
        apply(&mut state, &operation);
    }
    let bytes = postcard::to_stdvec(&state).unwrap();
    assert_eq!(postcard::from_bytes::<ControlState>(&bytes).unwrap(), state);
}
