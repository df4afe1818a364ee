//! Links between instances that fail, and what others send on them.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use plankhill_process_tests::*;
use rstest::rstest;

/// Guards the fence: an owner that no keeper hears takes nothing and sends nothing.
#[rstest]
fn cut_off_from_its_keepers_an_owner_promises_nothing_and_sends_nothing() {
    let mut world = World::copied(3);
    world.set_targets(Manner::Hangs);
    world.take(0, &Handed::new("held", Effect::Retriable));
    let before = world.all_adoptions();
    world.cut_off(0);
    world.heir_of(0, &before);
    let sent = world
        .book
        .count(|seen| matches!(seen, Seen::Began { instance: 0, .. }));
    for number in 0..5 {
        let cut =
            Handed::new(&format!("cut-{number}"), Effect::Retriable).waits(Duration::from_secs(1));
        assert_ne!(world.hand_in(0, &cut), Answer::Taken);
    }
    assert_eq!(
        world
            .book
            .count(|seen| matches!(seen, Seen::Began { instance: 0, .. })),
        sent
    );
    world.set_targets(crate::AT_ONCE);
    world.heal(0);
    world.until_takes(0);
    world.verdict();
}

/// Guards against a 503 for what may count after all.
#[rstest]
fn what_was_refused_while_cut_off_never_counts() {
    let mut world = World::copied(3);
    let load = world.load(14, 6);
    load.until_taken(60);
    for _ in 0..2 {
        world.cut_off(0);
        load.until_taken(60);
        world.heal(0);
        world.until_takes(0);
    }
    load.stop();
    world.verdict();
}

#[rstest]
#[case(Direction::Forward)]
#[case(Direction::Back)]
fn links_that_pass_one_way_only_break_no_rule(#[case] side: Direction) {
    let mut world = World::copied(3);
    let load = world.load(15, 6);
    load.until_taken(60);
    world.fault(0, |owner| {
        owner
            .peers
            .iter()
            .for_each(|link| link.set_delivery(side, Delivery::Stalled))
    });
    load.until_taken(60);
    world.heal(0);
    world.until_takes(0);
    load.stop();
    world.verdict();
}

#[rstest]
fn with_a_slow_keeper_the_others_go_on() {
    let mut world = World::copied(3);
    let load = world.load(16, 6);
    world.among(1, |link| link.delay(Duration::from_millis(80)));
    load.until_taken(150);
    world.heal(1);
    load.until_taken(60);
    load.stop();
    world.verdict();
}

/// Guards against frames that count though part of them is missing.
#[rstest]
fn links_that_are_reset_in_the_middle_of_a_frame_lose_nothing() {
    let mut world = World::copied(3);
    let load = world.load(17, 6);
    for after in [0, 3, 9, 40, 200] {
        world.among(0, |link| link.truncate_next(Direction::Forward, after));
        load.until_taken(30);
        world.among(0, |link| link.truncate_next(Direction::Back, after));
        load.until_taken(30);
        world.heal(0);
    }
    load.stop();
    world.verdict();
}

/// Noise, a torn frame, one that would be too long, another protocol.
const STRANGE: [&[u8]; 4] = [
    &[0x5a; 600],
    &[
        16, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20,
    ],
    &[0xff; 8],
    b"POST /job HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
];

/// Who is not of the fleet is closed out, and the rest goes on.
#[rstest]
fn strange_frames_are_closed_out_and_the_rest_goes_on() {
    let mut world = World::copied(3);
    let load = world.load(18, 6);
    for bytes in STRANGE.into_iter().cycle().take(40) {
        let mut stream = TcpStream::connect(world.instances[0].places[1].address).expect("listens");
        stream.set_read_timeout(Some(LONG)).expect("a socket");
        let _ = stream.write_all(bytes);
        let ended = match stream.read(&mut [0; 64]) {
            Ok(read) => read == 0,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        };
        assert!(ended, "the connection is closed without a word");
    }
    load.until_taken(60);
    load.stop();
    world.verdict();
}

#[rstest]
fn an_instance_of_another_fleet_is_closed_out_and_the_rest_goes_on() {
    let mut world = World::copied(3);
    let load = world.load(19, 6);
    world.kill(2);
    let file = world.process(2).folder().join("fleet.toml");
    let ours = std::fs::read_to_string(&file).expect("there");
    std::fs::write(&file, ours.replace("\"stories\"", "\"others\"")).expect("written");
    world.launch(2);
    world.process(0).until_said("another fleet", 0);
    load.until_taken(60);
    world.instances[2].process.kill();
    std::fs::write(&file, ours).expect("written");
    world.start(2);
    world.until_takes(2);
    load.stop();
    world.verdict();
}
