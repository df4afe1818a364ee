//! A new version on each of several forwarders, while clients send and parts fail.

use std::time::Duration;

use plankhill_process_tests::*;
use rstest::rstest;

#[rstest]
fn new_versions_take_over_under_load_with_links_that_break() {
    let mut world = World::started(3);
    world.set_targets(Manner::Answers(Duration::from_millis(20)));
    let load = world.load(31, 6);
    for instance in 0..3 {
        load.until_taken(40);
        world.fault(instance, |it| {
            it.links()
                .for_each(|link| link.truncate_next(Direction::Back, 20))
        });
        let elder = world.instances[instance].process.start_another();
        load.until_taken(20);
        elder.waited();
        world.heal(instance);
        load.until_taken(20);
    }
    load.stop();
    world.verdict();
}

/// Guards the moment at which two processes know of the same events, whoever of them dies in it.
#[rstest]
#[case::the_old_one(true)]
#[case::the_new_one(false)]
fn one_of_two_versions_killed_while_one_takes_over_nothing_is_lost(#[case] old: bool) {
    let mut world = World::started(3);
    world.set_targets(Manner::Answers(Duration::from_millis(20)));
    let load = world.load(32, 6);
    for instance in 0..3 {
        load.until_taken(40);
        world.hinder(instance);
        let elder = world.instances[instance].process.start_another();
        load.until_taken(instance * 10);
        if old {
            drop(elder);
        } else {
            world.instances[instance].process.kill();
            // It goes on, or has handed over already: then the folder is left to the next.
            drop(elder);
            world.launch(instance);
        }
        world.until_up(instance);
    }
    load.until_taken(40);
    load.stop();
    world.verdict();
}
