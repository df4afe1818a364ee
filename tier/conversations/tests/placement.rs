//! Replicas of a program, and quorums of them.

use arbtest::arbtest;
use plankhill_conversations::placement::replicas;
use plankhill_conversations::quorum::{Quorum, WriteQuorum};
use plankhill_protocol::ids::{Incarnation, NodeId, ProgramId, StoreEpoch, ZoneName};
use plankhill_protocol::tables::{StoreMember, StoreView};

fn member(number: u64) -> StoreMember {
    StoreMember {
        node: NodeId::from(format!("store-{number}").as_str()),
        incarnation: Incarnation(number),
        address: std::net::SocketAddr::from(([10, 0, 0, number as u8], 7_000)),
        zone: ZoneName::from("zone"),
    }
}

fn members(count: u64) -> Vec<StoreMember> {
    (0..count).map(member).collect()
}

fn view(serving: Vec<StoreMember>, next: Option<Vec<StoreMember>>, faults: u32) -> StoreView {
    StoreView {
        epoch: StoreEpoch(1),
        serving,
        next,
        tolerated_faults: faults,
    }
}

#[test]
fn read_and_write_quorums_intersect() {
    for members in 1..20 {
        for faults in 0..5 {
            let quorum = Quorum::new(members, faults);
            assert!(quorum.write + quorum.read > members);
            assert!(quorum.read * 2 > members);
            assert!(quorum.write >= 1 && quorum.write <= members && quorum.read <= members);
            if members > 2 * faults as usize {
                assert!(
                    members - faults as usize >= quorum.write.max(quorum.read),
                    "{members} {faults}"
                );
            }
        }
    }
}

#[test]
fn a_new_store_moves_one_replica_at_most() {
    arbtest(|source| {
        let count = source.int_in_range(3..=12)?;
        let program = ProgramId::from(source.arbitrary::<&str>()?);
        let (before, after) = (members(count), members(count + 1));
        let old = replicas(&before, &program, 1);
        let new = replicas(&after, &program, 1);
        assert_eq!(new.len(), 3);
        assert!(new.iter().filter(|member| !old.contains(member)).count() <= 1);
        Ok(())
    });
}

#[test]
fn programs_are_spread_evenly_over_the_stores() {
    let stores = members(6);
    let mut programs_of = [0_u32; 6];
    for number in 0..3_000 {
        let program = ProgramId::from(format!("{number:x}").as_str());
        for member in replicas(&stores, &program, 1) {
            programs_of[member.incarnation.0 as usize] += 1;
        }
    }
    assert!(
        programs_of
            .iter()
            .all(|programs_of| (1_300..1_700).contains(programs_of)),
        "{programs_of:?}"
    );
}

#[test]
fn a_changing_view_needs_a_write_quorum_in_both_sets() {
    let program = ProgramId::from("program");
    let mut quorum = WriteQuorum::new(
        &view(members(3), Some(vec![member(2), member(3), member(4)]), 1),
        &program,
    );
    quorum.record_write(&member(0), Incarnation(0));
    quorum.record_write(&member(2), Incarnation(2));
    assert!(!quorum.is_reached());
    quorum.record_write(&member(4), Incarnation(4));
    assert!(quorum.is_reached());
}

#[test]
fn another_incarnation_of_a_store_does_not_count() {
    let program = ProgramId::from("program");
    let mut quorum = WriteQuorum::new(&view(members(3), None, 1), &program);
    quorum.record_write(&member(0), Incarnation(0));
    quorum.record_write(&member(1), Incarnation(77));
    quorum.record_write(&member(0), Incarnation(0));
    assert!(!quorum.is_reached());
    quorum.record_write(&member(1), Incarnation(1));
    assert!(quorum.is_reached());
}

#[test]
fn an_empty_view_never_reaches_a_quorum() {
    assert!(
        !WriteQuorum::new(&view(Vec::new(), None, 1), &ProgramId::from("program")).is_reached()
    );
}
