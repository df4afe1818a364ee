//! Tests of the index of a store: expiry of chains, program listings, digests and size.

use std::collections::BTreeMap;
use std::sync::Arc;

use arbtest::arbtest;
use plankhill_conversations::account::TurnState;
use plankhill_conversations::turn_index::{Expired, TurnEntry, TurnIndex, ACCOUNT_TTL_MS};
use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::store_calls::{TurnLocation, TurnRecord};

fn turn(number: usize) -> RequestId {
    RequestId::from(format!("turn-{number}").as_str())
}

fn program(number: usize) -> ProgramId {
    ProgramId::from(format!("program-{number:03}").as_str())
}

fn record(number: usize, previous: Option<usize>) -> TurnRecord {
    TurnRecord {
        turn: turn(number),
        program: program(number % 3),
        previous: previous.map(|previous| TurnLocation {
            turn: turn(previous),
            program: program(previous % 3),
        }),
        input: Arc::from([1; 10]),
        output: Arc::from([2; 20]),
        retention_ms: 1_000,
    }
}

#[test]
fn ancestors_are_retained_as_long_as_their_descendants_in_any_order_of_arrival() {
    arbtest(|source| {
        let count = source.int_in_range(1..=12)?;
        let mut parents = BTreeMap::new();
        let mut order = Vec::new();
        for number in 0..count {
            let parent = if number == 0 || source.ratio(1, 4)? {
                None
            } else {
                Some(source.choose_index(number)?)
            };
            let expires = source.int_in_range(1..=100)?;
            parents.insert(number, (parent, expires));
            order.insert(source.choose_index(order.len() + 1)?, number);
        }
        let mut index = TurnIndex::default();
        for number in &order {
            let (parent, expires) = parents[number];
            assert!(index.retain(
                &turn(*number),
                TurnEntry::new(&record(*number, parent), expires)
            ));
        }
        let now = source.int_in_range(0..=110)?;
        index.expire(now);
        for (number, (parent, expires)) in &parents {
            if *expires > now {
                assert!(
                    index.turn(&turn(*number)).is_some(),
                    "turn {number} is missing"
                );
            }
            if let (Some(_), Some(parent)) = (index.turn(&turn(*number)), parent) {
                assert!(
                    index.turn(&turn(*parent)).is_some(),
                    "turn {number} is retained without its parent {parent}"
                );
            }
        }
        index.expire(1_000);
        assert!(index.is_empty());
        assert_eq!(index.bytes(), 0);
        Ok(())
    });
}

#[test]
fn equal_content_has_an_equal_digest() {
    let (mut one, mut other) = (TurnIndex::default(), TurnIndex::default());
    for (index, numbers) in [(&mut one, [0, 3, 6]), (&mut other, [6, 0, 3])] {
        for number in numbers {
            index.retain(
                &turn(number),
                TurnEntry::new(&record(number, None), 50 + number as u64),
            );
            index.merge_state(
                &program(0),
                &turn(number),
                TurnState::Committed { tokens: 1 },
                number as u64,
            );
        }
    }
    assert_eq!(one.digest(&program(0)), other.digest(&program(0)));
    other.merge_state(&program(0), &turn(9), TurnState::Rejected, 0);
    assert_ne!(one.digest(&program(0)), other.digest(&program(0)));
}

#[test]
fn pages_of_a_list_have_no_gaps() {
    let mut index = TurnIndex::default();
    for number in 0..50 {
        index.merge_state(&program(number), &turn(number), TurnState::Rejected, 0);
    }
    let is_listed = |name: &ProgramId| !name.as_str().ends_with('7');
    let mut listed = Vec::new();
    let mut after = None;
    loop {
        let page = index.list_programs(after.as_ref(), 7, is_listed);
        let Some(last) = page.last() else { break };
        after = Some(last.program.clone());
        listed.extend(page.into_iter().map(|entry| entry.program));
    }
    let expected: Vec<_> = (0..50).map(program).filter(is_listed).collect();
    assert_eq!(listed, expected);
}

#[test]
fn accounts_expire_after_their_ttl() {
    let mut index = TurnIndex::default();
    index.merge_state(
        &program(1),
        &turn(1),
        TurnState::Reserved { max_tokens: 5 },
        1_000,
    );
    assert!(index.expire(999 + ACCOUNT_TTL_MS).accounts.is_empty());
    index.merge_state(
        &program(1),
        &turn(2),
        TurnState::Reserved { max_tokens: 5 },
        2_000,
    );
    assert!(index.expire(1_999 + ACCOUNT_TTL_MS).accounts.is_empty());
    let expired = index.expire(2_000 + ACCOUNT_TTL_MS);
    assert_eq!(expired.accounts.len(), 1);
    assert_eq!(expired.accounts[0].account.len(), 2);
    assert!(index.account(&program(1)).is_none());
    assert_eq!(index.bytes(), 0);
}

#[test]
fn a_removed_turn_is_absent_and_can_be_retained_again() {
    let mut index = TurnIndex::default();
    index.retain(&turn(1), TurnEntry::new(&record(1, None), 100));
    index.remove(&turn(1));
    assert!(index.turn(&turn(1)).is_none());
    assert_eq!(index.bytes(), 0);
    assert!(index.retain(&turn(1), TurnEntry::new(&record(1, None), 100)));
}

/// Guards against rows of extensions that stay on disk because their turns never arrive.
#[test]
fn the_extension_of_an_absent_turn_is_returned_once_when_it_expires() {
    let mut index = TurnIndex::default();
    assert_eq!(index.extend(&turn(1), 100), 100);
    assert_eq!(index.extend(&turn(1), 50), 100);
    assert_eq!(index.expire(99), Expired::default());
    assert_eq!(index.expire(100).extensions, [turn(1)]);
    assert_eq!(index.expire(1_000), Expired::default());
}

#[test]
fn an_extension_is_applied_to_a_turn_that_arrives_later() {
    let mut index = TurnIndex::default();
    index.extend(&turn(1), 100);
    index.retain(&turn(1), TurnEntry::new(&record(1, None), 50));
    assert_eq!(index.extend(&turn(1), 20), 100);
    assert_eq!(index.expire(99), Expired::default());
    let expired = index.expire(100);
    assert_eq!((expired.turns, expired.extensions), (vec![turn(1)], vec![]));
}
