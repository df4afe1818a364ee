//! Several forwarders of today's form, each for itself: whatever happens to them and between them and their
//! peers, each keeps its word.

use std::time::Duration;

use plankhill_process_tests::*;
use rstest::rstest;
use rustix::process::Signal;

#[rstest]
fn killed_under_load_and_started_again_nothing_promised_is_lost() {
    let mut world = World::started(3);
    world.set_targets(Manner::Answers(Duration::from_millis(20)));
    let load = world.load(1, 6);
    for instance in 0..3 {
        load.until_taken(60);
        world.kill(instance);
        world.start(instance);
    }
    load.until_taken(60);
    load.stop();
    world.verdict();
}

#[rstest]
fn killed_with_calls_out_a_binding_event_is_never_sent_again() {
    let mut world = World::started(3);
    world.set_targets(Manner::Hangs);
    world.takes_one_of_each_effect(0);
    world.kill(0);
    world.set_targets(Manner::Answers(Duration::ZERO));
    world.start(0);
    world.each_effect_goes_on_as_it_may();
}

/// Guards what a call learns late: its time is over when the process wakes.
#[rstest]
fn stalled_with_calls_out_and_woken_each_event_has_one_end() {
    let mut world = World::started(3);
    let load = world.load(2, 6);
    for instance in 0..3 {
        world.set_targets(Manner::Hangs);
        let waiting = format!("waiting-{instance}");
        world.take(instance, &Handed::new(&waiting, Effect::Binding));
        world.until_sent(&waiting, 1);
        world.stop(instance);
        world.set_targets(Manner::Answers(Duration::ZERO));
        load.until_taken(40);
        world.wake(instance);
        load.until_taken(40);
    }
    load.stop();
    world.verdict();
}

#[rstest]
#[case::reset_and_refused(|link: &Relay| link.reset_and_refuse())]
#[case::silent(|link: &Relay| link.stall())]
#[case::deaf(|link: &Relay| link.set_delivery(Direction::Back, Delivery::Stalled))]
#[case::unheard(|link: &Relay| link.set_delivery(Direction::Forward, Delivery::Stalled))]
#[case::late(|link: &Relay| link.delay(Duration::from_millis(40)))]
fn links_to_targets_and_discovery_fail_and_heal(#[case] fault: fn(&Relay)) {
    let mut world = World::started(3);
    let load = world.load(3, 6);
    load.until_taken(40);
    world.fault(0, |instance| instance.targets.iter().for_each(fault));
    world.fault(1, |instance| fault(&instance.discovery));
    world.fault(2, |instance| instance.links().for_each(fault));
    load.until_taken(20);
    (0..3).for_each(|instance| world.heal(instance));
    load.until_taken(60);
    load.stop();
    world.verdict();
}

/// Guards against a call or an answer that counts though half of it is missing.
#[rstest]
fn messages_cut_in_half_harm_nothing_but_themselves() {
    let mut world = World::started(3);
    let load = world.load(4, 6);
    for after in [1, 12, 60, 100] {
        for side in [Direction::Forward, Direction::Back] {
            (0..3).for_each(|at| {
                world.fault(at, |instance| {
                    instance.links().for_each(|l| l.truncate_next(side, after))
                })
            });
            load.until_taken(20);
            (0..3).for_each(|instance| world.heal(instance));
        }
    }
    load.until_taken(40);
    load.stop();
    world.verdict();
}

#[rstest]
fn told_to_end_under_load_it_ends_in_order_and_the_next_owes_the_rest() {
    let mut world = World::started(3);
    let load = world.load(5, 6);
    for instance in 0..3 {
        load.until_taken(40);
        world.hinder(instance);
        world.process(instance).signal(Signal::TERM);
        assert!(
            world.instances[instance].process.waited(),
            "it ends in order"
        );
        world.start(instance);
    }
    load.until_taken(40);
    load.stop();
    world.verdict();
}

#[rstest]
fn told_to_end_it_answers_what_still_comes_and_takes_nothing_on() {
    let mut world = World::started(2);
    // A call that is out keeps it from ending at once.
    world.set_targets(Manner::Hangs);
    world.take(0, &Handed::new("out", Effect::Binding));
    world.until_sent("out", 1);
    world.hinder(0);
    world.process(0).signal(Signal::TERM);
    world.process(0).until_said("shutdown started", 0);
    for number in 0..10 {
        assert_eq!(
            world.hand_in(
                0,
                &Handed::new(&format!("late-{number}"), Effect::Retriable)
            ),
            Answer::Refused
        );
    }
    world.set_targets(Manner::Answers(Duration::ZERO));
    assert!(world.instances[0].process.waited(), "it ends in order");
    world.start(0);
    world.verdict();
    assert_eq!(world.book.sends("out"), 1);
}

/// Guards against a promise that could not be written down.
#[rstest]
fn with_its_disk_full_a_forwarder_promises_nothing_and_loses_nothing() {
    let mut world = World::started(3);
    let load = world.load(6, 6);
    load.until_taken(40);
    let ledger = std::fs::metadata(world.process(0).state().join("ledger"))
        .expect("there")
        .len();
    world.process(0).limit_files(Some(ledger + 2_000));
    // Until one is turned away; what comes before that fits.
    let mut number = 0;
    until("n0 turns an event away", || {
        number += 1;
        let probe = Handed::new(&format!("probe-{number}"), Effect::Retriable).body(1_000);
        world.hand_in(0, &probe) != Answer::Taken
    });
    load.until_taken(40);
    world.process(0).limit_files(None);
    until("n0 takes events again", || {
        number += 1;
        world.hand_in(0, &Handed::new(&format!("probe-{number}"), Effect::Binding)) == Answer::Taken
    });
    load.stop();
    world.verdict();
}

#[rstest]
fn with_its_share_of_the_disk_used_up_a_forwarder_turns_away_and_keeps_the_rest() {
    let mut world = World::new(
        2,
        &Told {
            disk_mb: 0.25,
            ..Told::default()
        },
    );
    world.start_all();
    world.set_targets(Manner::Hangs);
    let big = |number: usize| Handed::new(&format!("big-{number}"), Effect::Binding).body(9_000);
    let taken = (0..40)
        .take_while(|number| world.hand_in(0, &big(*number)) == Answer::Taken)
        .count();
    assert!((1..40).contains(&taken), "{taken} were taken");
    world.kill(0);
    world.set_targets(Manner::Answers(Duration::ZERO));
    world.start(0);
    world.verdict();
}

#[rstest]
fn all_at_once_ended_and_started_again_the_fleet_loses_nothing() {
    let mut world = World::started(5);
    world.set_targets(Manner::Answers(Duration::from_millis(20)));
    let load = world.load(7, 10);
    for _ in 0..2 {
        load.until_taken(100);
        (0..5).for_each(|instance| world.kill(instance));
        world.start_all();
    }
    load.until_taken(100);
    load.stop();
    world.verdict();
}

#[rstest]
fn events_of_one_key_keep_their_order_over_a_kill() {
    let mut world = World::started(2);
    world.set_targets(Manner::Errs);
    for number in 0..4 {
        world.take(
            0,
            &Handed::new(&format!("k{number}"), Effect::Retriable).key(5),
        );
    }
    world.until_sent("k0", 1);
    world.kill(0);
    world.set_targets(Manner::Answers(Duration::ZERO));
    world.start(0);
    world.until_sent("k3", 1);
    world.verdict();
}

/// Guards drains over kills and stalls: what an instance was told it knows also as the next process.
#[rstest]
fn nothing_new_goes_to_a_target_that_drains_over_kills_and_stalls() {
    let mut world = World::started(3);
    let load = world.load(8, 6);
    load.until_taken(40);
    world.discovery.set_phase(0, "draining");
    until("all have read it", || world.discovery.is_known());
    world.kill(0);
    // Its agent is silent as it starts.
    world.instances[0].discovery.stall();
    world.stop(1);
    load.until_taken(20);
    world.start(0);
    world.wake(1);
    load.until_taken(60);
    world.heal(0);
    load.stop();
    world.verdict();
}
