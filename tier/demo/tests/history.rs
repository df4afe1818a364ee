//! What a target must get for a turn.

use plankhill_demo::events;
use plankhill_demo::history::{digest, History};

#[test]
fn a_turn_carries_all_inputs_and_outputs_before_it() {
    let mut history = History::default();
    assert_eq!(history.digest_with("one\n"), digest(b"one\n"));
    history.add("one\n", &["a", "b"]);
    assert_eq!(history.digest_with("two\n"), digest(b"one\na\nb\ntwo\n"));
    history.add("two\n", &[]);
    assert_eq!(
        history.digest_with("three"),
        digest(b"one\na\nb\ntwo\nthree")
    );
}

#[test]
fn events_are_read_as_they_are_written() {
    let stream = events::write(1, "a 1") + &events::write(2, "a 2");
    assert_eq!(events::data_of(&stream), ["a 1", "a 2"]);
    assert_eq!(events::data_of(""), [""; 0]);
}
