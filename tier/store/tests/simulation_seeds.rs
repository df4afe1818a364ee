//! Many seeds of the simulated deployment. `STORE_SEEDS=from..to` chooses them.

mod world;

use world::faults::Trouble;
use world::scenario::{tell, Story, Told};

fn seeds(count: u64) -> std::ops::Range<u64> {
    let Ok(range) = std::env::var("STORE_SEEDS") else {
        return 0..count;
    };
    let (from, to) = range.split_once("..").expect("from..to");
    from.parse().expect("from")..to.parse().expect("to")
}

fn tell_all(count: u64, story: Story) -> Told {
    let mut sum = Told::default();
    for seed in seeds(count) {
        let told = std::panic::catch_unwind(|| tell(seed, story));
        let told = told.unwrap_or_else(|_| panic!("seed {seed} of {story:?}"));
        sum.answered += told.answered;
        sum.begun += told.begun;
        sum.spent += told.spent;
        sum.unsure += told.unsure;
    }
    println!("{sum:?}");
    assert!(sum.answered > 0 && sum.begun > 0);
    sum
}

#[test]
fn without_troubles_nothing_is_unsure() {
    let told = tell_all(
        20,
        Story {
            troubles: 0,
            ..Story::SMALL
        },
    );
    assert!(told.unsure * 20 < told.begun, "{told:?}");
    assert!(told.spent > 0, "budgets were never spent: {told:?}");
}

#[test]
fn three_stores_bear_all_troubles() {
    tell_all(200, Story::SMALL);
}

#[test]
fn four_stores_bear_all_troubles() {
    tell_all(
        200,
        Story {
            stores: 4,
            troubles: 3,
            ..Story::SMALL
        },
    );
}

#[test]
fn six_stores_bear_two_lost_at_once() {
    tell_all(
        60,
        Story {
            stores: 6,
            faults: 2,
            ..Story::SMALL
        },
    );
}

#[test]
fn retired_stores_take_nothing_with_them() {
    let kinds = &[Trouble::Retire, Trouble::Add];
    tell_all(
        60,
        Story {
            stores: 4,
            troubles: 4,
            kinds,
            ..Story::SMALL
        },
    );
}
