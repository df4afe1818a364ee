//! Checks the prompt of a turn and the encoding of events.

use plankhill_demo::events;
use plankhill_demo::history::{digest, History};

#[test]
fn the_prompt_of_a_turn_contains_all_earlier_inputs_and_outputs() {
    let mut history = History::default();
    assert_eq!(history.digest_with("one\n"), digest(b"one\n"));
    history.add_turn("one\n", &["a", "b"]);
    assert_eq!(history.digest_with("two\n"), digest(b"one\na\nb\ntwo\n"));
    history.add_turn("two\n", &[]);
    assert_eq!(
        history.digest_with("three"),
        digest(b"one\na\nb\ntwo\nthree")
    );
}

#[test]
fn decoded_events_match_the_encoded_events() {
    let stream = events::encode(1, "a 1") + &events::encode(2, "a 2");
    assert_eq!(events::event_data(&stream), ["a 1", "a 2"]);
    assert_eq!(events::event_data(""), [""; 0]);
}
