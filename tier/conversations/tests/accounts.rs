//! Budget accounts: merging, and which turns may run.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use plankhill_conversations::account::{Account, BudgetDecision, TurnState};
use plankhill_protocol::ids::RequestId;
use plankhill_protocol::store_calls::Reservation;

fn name(number: u8) -> RequestId {
    RequestId::from(format!("turn-{number}").as_str())
}

fn state(source: &mut Unstructured<'_>) -> Result<TurnState> {
    let tokens = source.int_in_range(0..=100)?;
    Ok(match source.int_in_range(0..=2)? {
        0 => TurnState::Reserved { max_tokens: tokens },
        1 => TurnState::Rejected,
        _ => TurnState::Committed { tokens },
    })
}

fn updates(source: &mut Unstructured<'_>) -> Result<Vec<(RequestId, TurnState)>> {
    let count = source.int_in_range(0..=20)?;
    (0..count)
        .map(|_| Ok((name(source.int_in_range(0..=6)?), state(source)?)))
        .collect()
}

fn account(updates: &[(RequestId, TurnState)]) -> Account {
    let mut account = Account::default();
    for (turn, state) in updates {
        account.merge(turn, *state);
    }
    account
}

#[test]
fn merging_is_commutative_and_idempotent() {
    arbtest(|source| {
        let mut updates = updates(source)?;
        let complete = account(&updates);
        let split = source.choose_index(updates.len() + 1)?;
        let (one, other) = updates.split_at(split);
        let mut merged = account(other);
        merged.merge_all(&account(one));
        assert_eq!(merged, complete);
        merged.merge_all(&complete);
        assert_eq!(merged, complete);
        updates.reverse();
        assert_eq!(account(&updates), complete);
        Ok(())
    });
}

#[test]
fn a_committed_turn_stays_committed() {
    arbtest(|source| {
        let mut account = account(&updates(source)?);
        let turn = name(0);
        account.merge(&turn, TurnState::Committed { tokens: 7 });
        let later = state(source)?;
        account.merge(&turn, later);
        let Some(TurnState::Committed { tokens }) = account.state(&turn) else {
            panic!("no longer committed")
        };
        assert!(tokens >= 7);
        Ok(())
    });
}

#[test]
fn granted_turns_never_exceed_the_budget() {
    arbtest(|source| {
        let mut account = Account::default();
        let budget = source.int_in_range(0..=200)?;
        for number in 0..source.int_in_range(0..=15)? {
            let reservation = Reservation {
                budget,
                max_tokens: source.int_in_range(0..=80)?,
            };
            account.merge(
                &name(number),
                TurnState::Reserved {
                    max_tokens: reservation.max_tokens,
                },
            );
            match account.decide(&name(number), &reservation) {
                BudgetDecision::Granted if source.arbitrary()? => {
                    let tokens = source.int_in_range(0..=reservation.max_tokens)?;
                    account.merge(&name(number), TurnState::Committed { tokens });
                }
                BudgetDecision::Granted => {}
                _ => {
                    account.merge(&name(number), TurnState::Rejected);
                }
            }
        }
        let charged: u64 = account
            .turns()
            .map(|(_, state)| state.charged_tokens())
            .sum();
        assert!(charged <= budget);
        Ok(())
    });
}

#[test]
fn repeated_requests_get_the_same_decision() {
    let reservation = Reservation {
        budget: 100,
        max_tokens: 60,
    };
    let mut account = account(&[(name(1), TurnState::Reserved { max_tokens: 60 })]);
    assert_eq!(
        account.decide(&name(1), &reservation),
        BudgetDecision::Granted
    );
    assert_eq!(
        account.decide(&name(1), &reservation),
        BudgetDecision::Granted
    );
    assert_eq!(
        account.decide(&name(2), &reservation),
        BudgetDecision::Exhausted
    );
    account.merge(&name(2), TurnState::Rejected);
    account.merge(&name(1), TurnState::Committed { tokens: 1 });
    assert_eq!(
        account.decide(&name(2), &reservation),
        BudgetDecision::Exhausted,
        "a rejection is final"
    );
    assert_eq!(
        account.decide(&name(1), &reservation),
        BudgetDecision::AlreadyEnded
    );
    assert_eq!(
        account.decide(&name(3), &reservation),
        BudgetDecision::Granted
    );
}

#[test]
fn large_token_counts_do_not_overflow() {
    let account = account(&[(
        name(1),
        TurnState::Reserved {
            max_tokens: u64::MAX,
        },
    )]);
    let reservation = Reservation {
        budget: u64::MAX - 1,
        max_tokens: u64::MAX,
    };
    assert_eq!(
        account.decide(&name(2), &reservation),
        BudgetDecision::Exhausted
    );
}
