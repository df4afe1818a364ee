//! Folders that are empty, old or full.

use plankhill_process_tests::*;
use rstest::rstest;

#[rstest]
fn back_with_an_empty_folder_an_instance_is_a_new_one_and_takes_events() {
    let mut world = World::copied(3);
    let load = world.load(21, 6);
    load.until_taken(60);
    let before = world.all_adoptions();
    world.lose(0);
    world.heir_of(0, &before);
    world.start(0);
    world.until_takes(0);
    load.until_taken(60);
    load.stop();
    world.verdict();
}

/// Guards votes and records that were promised after the copy was made.
#[rstest]
fn an_older_copy_of_its_folder_is_refused_with_one_line() {
    let mut world = World::copied(3);
    world.kill(0);
    let older = world.process(0).copy_folder();
    world.start(0);
    world.until_takes(0);
    world.set_targets(Manner::Hangs);
    for number in 0..6 {
        world.take(0, &Handed::new(&format!("e{number}"), Effect::Binding));
    }
    let before = world.all_adoptions();
    world.kill(0);
    world.instances[0].process.put_back(&older);
    world.launch(0);
    assert!(
        !world.instances[0].process.waited(),
        "it does not end as if all were well"
    );
    // The log is read by a thread of its own.
    world.process(0).until_said("plankhill-forwarder: ", 0);
    assert_eq!(
        world.process(0).said("plankhill-forwarder: "),
        1,
        "one plain line"
    );
    world.heir_of(0, &before);
    world.set_targets(crate::AT_ONCE);
    world.instances[0].process.lose_folder();
    world.start(0);
    world.until_takes(0);
    world.verdict();
}

#[rstest]
fn with_a_keepers_disk_full_nothing_is_lost() {
    let mut world = World::copied(3);
    let load = world.load(22, 6);
    load.until_taken(60);
    world.hinder(1);
    world.process(1).limit_files(Some(2_048));
    load.until_taken(60);
    if world.instances[1].process.has_ended() {
        world.start(1);
    } else {
        world.process(1).limit_files(None);
        world.free(1, false);
    }
    world.until_takes(1);
    load.until_taken(60);
    load.stop();
    world.verdict();
}

/// Guards what is kept for others: at its cap more is refused, nothing kept is dropped.
#[rstest]
fn with_what_is_kept_for_others_at_its_cap_events_are_refused_and_none_is_lost() {
    let mut world = World::new(
        3,
        &Told {
            kept_mb: 1.0,
            ..Told::with_copies()
        },
    );
    world.start_all();
    (0..3).for_each(|instance| world.until_takes(instance));
    world.set_targets(Manner::Hangs);
    let big = |number: usize| Handed::new(&format!("big-{number}"), Effect::Retriable).body(60_000);
    let taken = (0..60)
        .take_while(|number| world.hand_in(0, &big(*number)) == Answer::Taken)
        .count();
    assert!((1..60).contains(&taken), "{taken} were taken");
    world.set_targets(crate::AT_ONCE);
    world.verdict();
}
