//! Calls of an owner that is gone or stands still, and may still be on their way.

use plankhill_process_tests::*;
use rstest::rstest;

use crate::AT_ONCE;

/// Nothing of the key is sent before the time-out of the call that is out has surely passed.
fn waited(world: &World, out: &str, next: &str) {
    let (began, time_out) = world.book.calls(out)[0];
    let (after, _) = world.book.calls(next)[0];
    assert!(
        after >= began + time_out,
        "{next} was sent {after:.0} ms, {out} was out from {began:.0} for {time_out:.0}"
    );
}

#[rstest]
fn a_call_of_the_old_owner_still_out_holds_back_its_event_and_the_next_of_its_key() {
    let mut world = World::copied(3);
    world.set_targets(Manner::Hangs);
    world.take(0, &Handed::new("out", Effect::Fingerprinted).key(5));
    world.until_sent("out", 1);
    world.take(0, &Handed::new("next", Effect::Fingerprinted).key(5));
    // The target never hears that its caller is gone.
    world.fault(0, |owner| {
        owner
            .targets
            .iter()
            .for_each(|link| link.set_delivery(Direction::Forward, Delivery::Stalled))
    });
    world.lose(0);
    world.set_targets(AT_ONCE);
    world.until_sent("next", 1);
    let calls = world.book.calls("out");
    assert!(
        calls.len() < 2 || calls[1].0 >= calls[0].0 + calls[0].1,
        "{calls:?}"
    );
    waited(&world, "out", "next");
    world.verdict();
}

/// The owner is not dead: it stands still, half of its call is at the target, and it would write the rest.
#[rstest]
fn woken_after_its_heir_was_chosen_with_a_call_half_written_the_owner_repeats_nothing_binding() {
    let mut world = World::copied(3);
    let cut = |link: &Relay| link.stall_after(Direction::Forward, 40);
    world.fault(0, |owner| owner.targets.iter().for_each(cut));
    world.take(0, &Handed::new("half", Effect::Binding).key(5));
    world.take(0, &Handed::new("next", Effect::Binding).key(5));
    until("half of the call is written", || {
        world.instances[0]
            .targets
            .iter()
            .any(|link: &Relay| link.is_stalled())
    });
    let before = world.all_adoptions();
    world.stop(0);
    world.heir_of(0, &before);
    world.instances[0]
        .targets
        .iter()
        .for_each(|link: &Relay| link.heal());
    world.wake(0);
    world.until_noticed("half");
    world.until_sent("next", 1);
    world.verdict();
    assert!(world.book.sends("half") <= 1);
    assert_eq!(world.book.sends("next"), 1);
}

#[rstest]
fn stalled_under_load_and_woken_after_its_heir_was_chosen_an_owner_breaks_no_rule() {
    let mut world = World::copied(3);
    let load = world.load(13, 6);
    load.until_taken(60);
    world.set_targets(Manner::Answers(std::time::Duration::from_millis(100)));
    load.until_taken(20);
    let before = world.all_adoptions();
    world.stop(0);
    world.heir_of(0, &before);
    load.until_taken(20);
    world.wake(0);
    world.until_takes(0);
    load.stop();
    world.verdict();
}
