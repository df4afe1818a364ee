//! Each check of the simulated deployment bites: something is broken on purpose, and a few hundred seeds
//! show it.

mod world;

use std::panic::catch_unwind;

use world::faults::Trouble;
use world::scenario::{tell, Story};
use world::Plant;

/// Seeds that are tried until a check bites.
const SEEDS: u64 = 300;

/// The first seed whose story ends with one of these checks.
fn bites(story: Story, checks: &[&str]) {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let found = (0..SEEDS).find(|seed| {
        let Err(panic) = catch_unwind(|| tell(*seed, story)) else {
            return false;
        };
        let text = panic.downcast_ref::<String>().cloned().unwrap_or_default();
        checks.iter().any(|check| text.starts_with(check))
    });
    std::panic::set_hook(hook);
    assert!(found.is_some(), "no seed shows {:?}", story.plant);
}

#[test]
fn planted_faults_are_seen() {
    let power = &[Trouble::Power];
    let wipe = &[Trouble::Wipe];
    let wipes = &[Trouble::Wipe, Trouble::PowerAndWipe];
    let moves = &[Trouble::Add, Trouble::Retire];
    let story = |plant, kinds| Story {
        plant,
        kinds,
        troubles: 4,
        ..Story::SMALL
    };
    bites(story(Plant::DisksIgnoreSyncs, power), &["LOST"]);
    // Without a spare copy nobody can say what a lost disk held: the set never changes.
    bites(story(Plant::NoSpareCopies, wipe), &["CATCH UP", "LOST"]);
    bites(story(Plant::SameIncarnation, wipes), &["LOST", "BUDGET"]);
    bites(
        Story {
            stores: 4,
            ..story(Plant::SwitchesAtOnce, moves)
        },
        &["LOST", "BUDGET"],
    );
    bites(
        Story {
            troubles: 0,
            ..story(Plant::AccountsUntold, power)
        },
        &["BUDGET"],
    );
    bites(
        Story {
            troubles: 0,
            ..story(Plant::FastClocks, power)
        },
        &["LOST"],
    );
    bites(story(Plant::NoRepairs, &[Trouble::CutOff]), &["REPAIR"]);
}
