//! Machines that are lost with their disks, one, two, or one after another.

use std::time::Duration;

use plankhill_process_tests::*;
use rstest::rstest;

use crate::AT_ONCE;

#[rstest]
fn killed_with_its_folder_lost_an_owners_heir_brings_every_promised_event_to_its_end() {
    let mut world = World::copied(3);
    let load = world.load(11, 6);
    load.until_taken(100);
    world.set_targets(Manner::Answers(Duration::from_millis(100)));
    load.until_taken(20);
    let before = world.all_adoptions();
    world.lose(0);
    world.heir_of(0, &before);
    load.until_taken(40);
    load.stop();
    world.verdict();
}

/// Guards the binding event whose mark is committed: its call may have left.
#[rstest]
fn a_binding_event_that_was_out_is_written_off_by_the_heir_and_the_others_go_again() {
    let mut world = World::copied(3);
    world.set_targets(Manner::Hangs);
    world.takes_one_of_each_effect(0);
    world.lose(0);
    world.set_targets(AT_ONCE);
    world.each_effect_goes_on_as_it_may();
}

/// Its client heard no 202 and hands it in elsewhere. Of an event that nobody promised the first copy may
/// have taken effect as well: that a client which leaves has to weigh.
#[rstest]
#[case(Effect::Retriable)]
#[case(Effect::Binding)]
fn an_event_whose_202_was_lost_with_its_machine_may_be_handed_in_elsewhere(#[case] effect: Effect) {
    let mut world = World::copied(3);
    world.set_targets(Manner::Hangs);
    world.instances[0].clients.stall_after(Direction::Back, 0);
    let first = Handed::new("first", effect);
    let heard = std::thread::scope(|scope| {
        let waits = scope.spawn(|| world.hand_in(0, &first));
        // Sent: it was committed before.
        world.until_sent("first", 1);
        world.instances[0].clients.reset_and_refuse();
        waits.join().expect("ends")
    });
    assert_eq!(heard, Answer::Unheard);
    world.lose(0);
    world.set_targets(AT_ONCE);
    world.take(1, &first.again("second"));
    world.until_sent("second", 1);
    world.verdict();
    assert_eq!(world.book.sends("second"), 1);
}

#[rstest]
fn two_machines_lost_one_after_the_other_with_the_copies_made_up_in_between() {
    let mut world = World::copied(5);
    world.set_targets(Manner::Hangs);
    for number in 0..12 {
        let effect = [Effect::Binding, Effect::Fingerprinted, Effect::Retriable][number % 3];
        world.take(
            0,
            &Handed::new(&format!("e{number}"), effect).key(number as u64 % 2),
        );
    }
    let before = world.all_adoptions();
    world.lose(0);
    let heir = world.heir_of(0, &before);
    world.until_copied(heir);
    let before = world.all_adoptions();
    world.lose(heir);
    world.heir_of(heir, &before);
    world.set_targets(AT_ONCE);
    world.verdict();
}

#[rstest]
fn with_owner_and_one_keeper_gone_nothing_is_promised_and_nothing_is_lost() {
    let mut world = World::copied(3);
    world.set_targets(Manner::Hangs);
    for number in 0..6 {
        world.take(0, &Handed::new(&format!("e{number}"), Effect::Binding));
    }
    world.kill(0);
    world.kill(1);
    until("n2 promises nothing alone", || {
        let id = format!("alone-{:.0}", world.book.now());
        let alone = Handed::new(&id, Effect::Retriable).waits(Duration::from_secs(1));
        world.hand_in(2, &alone) != Answer::Taken
    });
    let alone = Handed::new("alone", Effect::Retriable).waits(Duration::from_secs(3));
    assert_ne!(world.hand_in(2, &alone), Answer::Taken);
    world.set_targets(AT_ONCE);
    world.start_again(&[0, 1]);
    (0..3).for_each(|instance| world.until_takes(instance));
    world.verdict();
}

#[rstest]
fn all_at_once_ended_and_started_again_the_fleet_owes_what_it_owed() {
    let mut world = World::copied(3);
    let load = world.load(12, 6);
    load.until_taken(60);
    world.set_targets(Manner::Answers(Duration::from_millis(50)));
    load.until_taken(20);
    (0..3).for_each(|instance| world.kill(instance));
    world.start_all();
    load.until_taken(60);
    load.stop();
    world.verdict();
}
