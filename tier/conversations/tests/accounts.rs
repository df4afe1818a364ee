//! Budget accounts: merging, and who may run.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use plankhill_conversations::account::{Account, TurnState, Verdict};
use plankhill_protocol::ids::RequestId;
use plankhill_protocol::store_calls::Reservation;

fn name(number: u8) -> RequestId {
    RequestId::from(format!("turn-{number}").as_str())
}

fn state(source: &mut Unstructured<'_>) -> Result<TurnState> {
    let tokens = source.int_in_range(0..=100)?;
    Ok(match source.int_in_range(0..=2)? {
        0 => TurnState::Reserved { most: tokens },
        1 => TurnState::Refused,
        _ => TurnState::Settled { tokens },
    })
}

fn facts(source: &mut Unstructured<'_>) -> Result<Vec<(RequestId, TurnState)>> {
    let count = source.int_in_range(0..=20)?;
    (0..count)
        .map(|_| Ok((name(source.int_in_range(0..=6)?), state(source)?)))
        .collect()
}

fn account(facts: &[(RequestId, TurnState)]) -> Account {
    let mut account = Account::default();
    facts.iter().for_each(|(turn, state)| {
        account.merge(turn, *state);
    });
    account
}

#[test]
fn the_order_of_merging_does_not_matter() {
    arbtest(|source| {
        let mut facts = facts(source)?;
        let whole = account(&facts);
        let cut = source.choose_index(facts.len() + 1)?;
        let (one, other) = facts.split_at(cut);
        let mut merged = account(other);
        merged.merge_all(&account(one));
        assert_eq!(merged, whole);
        merged.merge_all(&whole);
        assert_eq!(merged, whole);
        facts.reverse();
        assert_eq!(account(&facts), whole);
        Ok(())
    });
}

#[test]
fn what_is_settled_stays_settled() {
    arbtest(|source| {
        let mut account = account(&facts(source)?);
        let turn = name(0);
        account.merge(&turn, TurnState::Settled { tokens: 7 });
        let later = state(source)?;
        account.merge(&turn, later);
        let Some(TurnState::Settled { tokens }) = account.state(&turn) else {
            panic!("no longer settled")
        };
        assert!(tokens >= 7);
        Ok(())
    });
}

#[test]
fn granted_turns_fit_into_the_budget() {
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
                    most: reservation.max_tokens,
                },
            );
            match account.verdict(&name(number), &reservation) {
                Verdict::Granted if source.arbitrary()? => {
                    let tokens = source.int_in_range(0..=reservation.max_tokens)?;
                    account.merge(&name(number), TurnState::Settled { tokens });
                }
                Verdict::Granted => {}
                _ => {
                    account.merge(&name(number), TurnState::Refused);
                }
            }
        }
        let handed: u64 = account.turns().map(|(_, state)| state.tokens()).sum();
        assert!(handed <= budget);
        Ok(())
    });
}

#[test]
fn repeats_get_the_same_answer() {
    let reservation = Reservation {
        budget: 100,
        max_tokens: 60,
    };
    let mut account = account(&[(name(1), TurnState::Reserved { most: 60 })]);
    assert_eq!(account.verdict(&name(1), &reservation), Verdict::Granted);
    assert_eq!(account.verdict(&name(1), &reservation), Verdict::Granted);
    assert_eq!(account.verdict(&name(2), &reservation), Verdict::Spent);
    account.merge(&name(2), TurnState::Refused);
    account.merge(&name(1), TurnState::Settled { tokens: 1 });
    assert_eq!(
        account.verdict(&name(2), &reservation),
        Verdict::Spent,
        "it was refused for good"
    );
    assert_eq!(account.verdict(&name(1), &reservation), Verdict::Over);
    assert_eq!(account.verdict(&name(3), &reservation), Verdict::Granted);
}

#[test]
fn huge_figures_do_not_wrap() {
    let account = account(&[(name(1), TurnState::Reserved { most: u64::MAX })]);
    let reservation = Reservation {
        budget: u64::MAX - 1,
        max_tokens: u64::MAX,
    };
    assert_eq!(account.verdict(&name(2), &reservation), Verdict::Spent);
}
