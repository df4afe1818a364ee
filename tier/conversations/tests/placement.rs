//! Who holds a program, and how many are enough.

use arbtest::arbtest;
use plankhill_conversations::placement::{replicas, Quorum, Tally};
use plankhill_conversations::rows::{account_key, hint_key, split_key};
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
fn what_was_written_is_met_by_every_read() {
    for members in 1..20 {
        for faults in 0..5 {
            let quorum = Quorum::of(members, faults);
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
fn programs_spread_over_the_stores() {
    let stores = members(6);
    let mut held = [0_u32; 6];
    for number in 0..3_000 {
        let program = ProgramId::from(format!("{number:x}").as_str());
        for member in replicas(&stores, &program, 1) {
            held[member.incarnation.0 as usize] += 1;
        }
    }
    assert!(
        held.iter().all(|held| (1_300..1_700).contains(held)),
        "{held:?}"
    );
}

#[test]
fn while_the_set_changes_both_sets_must_have_written() {
    let program = ProgramId::from("program");
    let mut tally = Tally::new(
        &view(members(3), Some(vec![member(2), member(3), member(4)]), 1),
        &program,
    );
    tally.written(&member(0), Incarnation(0));
    tally.written(&member(2), Incarnation(2));
    assert!(!tally.is_enough());
    tally.written(&member(4), Incarnation(4));
    assert!(tally.is_enough());
}

#[test]
fn another_life_of_a_store_counts_only_where_it_is_named() {
    let program = ProgramId::from("program");
    let mut tally = Tally::new(&view(members(3), None, 1), &program);
    tally.written(&member(0), Incarnation(0));
    tally.written(&member(1), Incarnation(77));
    tally.written(&member(0), Incarnation(0));
    assert!(!tally.is_enough());
    tally.written(&member(1), Incarnation(1));
    assert!(tally.is_enough());
}

#[test]
fn without_stores_nothing_is_enough() {
    assert!(!Tally::new(&view(Vec::new(), None, 1), &ProgramId::from("program")).is_enough());
}

#[test]
fn keys_of_several_names_come_apart_again() {
    arbtest(|source| {
        let (one, two, three): (&str, &str, &str) = (
            source.arbitrary()?,
            source.arbitrary()?,
            source.arbitrary()?,
        );
        let key = account_key(&one.into(), &two.into());
        assert_eq!(split_key(&key), Some(vec![one, two]));
        let key = hint_key(&one.into(), &two.into(), &three.into());
        assert_eq!(split_key(&key), Some(vec![one, two, three]));
        let bytes: &[u8] = source.arbitrary()?;
        // Whatever lies on a disk is read or passed over.
        let _ = split_key(bytes);
        Ok(())
    });
}
