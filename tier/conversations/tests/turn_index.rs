//! What a store knows: expiry with chains, lists, bounds.

use std::collections::BTreeMap;
use std::sync::Arc;

use arbtest::arbtest;
use plankhill_conversations::account::TurnState;
use plankhill_conversations::index::{Index, TurnEntry, ACCOUNT_KEPT_MS};
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
fn ancestors_stay_as_long_as_a_descendant_in_any_order_of_coming() {
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
        let mut index = Index::default();
        for number in &order {
            let (parent, expires) = parents[number];
            assert!(index.keep(
                &turn(*number),
                TurnEntry::new(&record(*number, parent), expires)
            ));
        }
        let now = source.int_in_range(0..=110)?;
        index.expire(now);
        for (number, (parent, expires)) in &parents {
            if *expires > now {
                assert!(index.turn(&turn(*number)).is_some(), "{number} is gone");
            }
            if let (Some(_), Some(parent)) = (index.turn(&turn(*number)), parent) {
                assert!(
                    index.turn(&turn(*parent)).is_some(),
                    "{number} has lost {parent}"
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
fn two_that_know_the_same_have_the_same_digest() {
    let (mut one, mut other) = (Index::default(), Index::default());
    for (index, numbers) in [(&mut one, [0, 3, 6]), (&mut other, [6, 0, 3])] {
        for number in numbers {
            index.keep(
                &turn(number),
                TurnEntry::new(&record(number, None), 50 + number as u64),
            );
            index.merge_state(
                &program(0),
                &turn(number),
                TurnState::Settled { tokens: 1 },
                number as u64,
            );
        }
    }
    assert_eq!(one.digest(&program(0)), other.digest(&program(0)));
    other.merge_state(&program(0), &turn(9), TurnState::Refused, 0);
    assert_ne!(one.digest(&program(0)), other.digest(&program(0)));
}

#[test]
fn lists_come_in_pages_without_gaps() {
    let mut index = Index::default();
    for number in 0..50 {
        index.merge_state(&program(number), &turn(number), TurnState::Refused, 0);
    }
    let belongs = |name: &ProgramId| !name.as_str().ends_with('7');
    let mut listed = Vec::new();
    let mut after = None;
    loop {
        let page = index.list(after.as_ref(), 7, belongs);
        let Some(last) = page.last() else { break };
        after = Some(last.program.clone());
        listed.extend(page.into_iter().map(|entry| entry.program));
    }
    let expected: Vec<_> = (0..50).map(program).filter(belongs).collect();
    assert_eq!(listed, expected);
}

#[test]
fn accounts_stay_for_a_while_after_their_last_use() {
    let mut index = Index::default();
    index.merge_state(
        &program(1),
        &turn(1),
        TurnState::Reserved { most: 5 },
        1_000,
    );
    assert!(index.expire(999 + ACCOUNT_KEPT_MS).accounts.is_empty());
    index.merge_state(
        &program(1),
        &turn(2),
        TurnState::Reserved { most: 5 },
        2_000,
    );
    assert!(index.expire(1_999 + ACCOUNT_KEPT_MS).accounts.is_empty());
    let expired = index.expire(2_000 + ACCOUNT_KEPT_MS);
    assert_eq!(expired.accounts.len(), 1);
    assert_eq!(expired.accounts[0].1.len(), 2);
    assert!(index.account(&program(1)).is_none());
    assert_eq!(index.bytes(), 0);
}

#[test]
fn a_turn_that_could_not_be_written_is_not_there() {
    let mut index = Index::default();
    index.keep(&turn(1), TurnEntry::new(&record(1, None), 100));
    index.forget(&turn(1));
    assert!(index.turn(&turn(1)).is_none());
    assert_eq!(index.bytes(), 0);
    assert!(index.keep(&turn(1), TurnEntry::new(&record(1, None), 100)));
}
