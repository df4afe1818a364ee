//! Tests that events are split correctly, regardless of how their bytes arrive.

use plankhill_proxy::stream::events::{Event, EventSplitter, MAX_EVENT_BYTES};

fn split(pieces: &[&[u8]]) -> (Vec<Event>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event().expect("short events") {
            events.push(event);
        }
    }
    (events, splitter.into_remainder().to_vec())
}

#[test]
fn events_do_not_depend_on_how_bytes_arrive() {
    arbtest::arbtest(|source| {
        let ends = ["\n\n", "\r\n\r\n"];
        let count = source.int_in_range(0..=6)?;
        let mut text = String::new();
        for id in 0..count {
            text += &format!("id: {id}\ndata: part {id}{}", source.choose(&ends)?);
        }
        text += source.choose(&["", "id: 9", "data: cut", "\r", "id: 9\ndata: x\n"])?;
        let bytes = text.as_bytes();
        let mut cuts = vec![0, bytes.len()];
        for _ in 0..source.int_in_range(0..=8)? {
            cuts.push(source.int_in_range(0..=bytes.len())?);
        }
        cuts.sort_unstable();
        let pieces: Vec<&[u8]> = cuts.windows(2).map(|cut| &bytes[cut[0]..cut[1]]).collect();
        assert_eq!(split(&pieces), split(&[bytes]));
        let (events, rest) = split(&pieces);
        assert_eq!(events.len() as u64, count);
        assert!(events
            .iter()
            .enumerate()
            .all(|(at, event)| event.id == Some(at as u64)));
        let joined: Vec<u8> = events
            .iter()
            .flat_map(|event| event.bytes.to_vec())
            .chain(rest)
            .collect();
        assert_eq!(joined, bytes);
        Ok(())
    });
}

#[test]
fn each_data_line_is_followed_by_a_line_feed() {
    let (events, _) = split(&[b"versions: 3\nid: 1\ndata: one\ndata:two\n\n: nothing\n\n"]);
    let mut output = Vec::new();
    for event in &events {
        event.append_data(&mut output);
    }
    assert_eq!(output, b"one\ntwo\n");
}

#[test]
fn an_event_over_the_limit_is_an_error() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert!(splitter.next_event().is_err());
}
