//! Several instances with lists: a broadcast counts once, wherever it is handed in, and each of its copies has
//! one end.

use std::time::Duration;

use plankhill_process_tests::*;

/// What the leader of the control group logs once the third voter is in.
const ALL_VOTERS: &str = "control group voters changed, voters: 3";

const ONCE: Copy = Copy {
    sends: 1,
    delivered: 1,
    noticed: 0,
};

#[test]
fn a_broadcast_reaches_each_destination_once_wherever_it_is_handed_in() {
    let world = World::broadcasting(3);
    for instance in 0..3 {
        let id = format!("from-{instance}");
        assert_eq!(
            world.broadcast(instance, "charge", &id, None),
            Answer::Taken
        );
        world.until_ended(&id);
        // Elsewhere, under the same id, it is none.
        assert_eq!(
            world.broadcast((instance + 1) % 3, "charge", &id, None),
            Answer::Refused
        );
        assert_eq!(world.copies(&id), [ONCE; 2]);
    }
}

#[test]
fn what_is_asked_for_wrongly_is_refused_and_where_no_lists_are_it_is_no_path() {
    let world = World::broadcasting(3);
    assert_eq!(world.ask(0, "none/job", "a", None), Some(404));
    assert_eq!(world.ask(0, "all/none", "a", None), Some(404));
    assert_eq!(world.ask(0, "all", "a", None), Some(404));
    assert_eq!(world.ask(0, "all/job", &"a".repeat(108), None), Some(400));
    let without = World::started(1);
    assert_eq!(without.ask(0, "all/job", "a", None), Some(404));
}

/// Hands in broadcasts one after another until each subscriber got one of them just once.
fn until_delivered_to_all(world: &World, part: &str, by: impl Fn(usize) -> usize) {
    let mut number = 0;
    until("a broadcast is delivered to all again", || {
        number += 1;
        let id = format!("{part}-{number}");
        if world.broadcast(by(number), "job", &id, None) != Answer::Taken {
            return false;
        }
        world.until_ended(&id);
        world.copies(&id) == [ONCE; 2]
    });
}

#[test]
fn killed_and_started_again_no_copy_is_missing_and_no_binding_one_doubled() {
    let mut world = World::broadcasting(3);
    world.set_targets(Manner::Answers(Duration::from_millis(20)));
    let mut promised = Vec::new();
    for round in 0..3 {
        let hand_in = |world: &World, promised: &mut Vec<String>, part: &str| {
            for number in 0..10 {
                let id = format!("{part}-{round}-{number}");
                let by = (round + 1 + number % 2) % 3;
                if world.broadcast(by, "charge-in-order", &id, Some(7)) == Answer::Taken {
                    promised.push(id);
                }
            }
        };
        hand_in(&world, &mut promised, "before");
        world.kill(round);
        hand_in(&world, &mut promised, "meanwhile");
        world.start(round);
        world.until_broadcasts(round);
        hand_in(&world, &mut promised, "after");
    }
    assert!(promised.len() > 30, "{} taken", promised.len());
    for id in &promised {
        world.until_ended(id);
        for copy in world.copies(id) {
            assert!(copy.sends <= 1, "{id}: {copy:?}");
        }
    }
    // How many make it hangs on how long each start takes; that all serve again does not.
    assert!(
        promised.iter().any(|id| world.copies(id) == [ONCE; 2]),
        "none of {} delivered",
        promised.len()
    );
    until_delivered_to_all(&world, "at-last", |number| number % 3);
}

#[test]
fn when_an_instance_is_lost_others_serve_its_subscribers() {
    let mut world = World::broadcasting(3);
    // Of a control group with two voters the loss of one leaves no majority.
    until("the control group has three voters", || {
        (0..3).any(|instance| world.process(instance).said(ALL_VOTERS) > 0)
    });
    world.kill(0);
    until_delivered_to_all(&world, "without", |number| 1 + number % 2);
}
