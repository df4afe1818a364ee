//! Faults on links between instances, and invalid input on their listeners.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use plankhill_process_tests::*;
use rstest::rstest;

/// Fencing: an owner that reaches no replica must not accept or send events.
#[rstest]
fn an_owner_isolated_from_its_replicas_accepts_and_sends_nothing() {
    let mut cluster = Cluster::replicated(3);
    cluster.set_target_behavior(TargetBehavior::Hang);
    cluster.submit_accepted(0, &EventRequest::new("held", Idempotency::Idempotent));
    let before = cluster.adoption_counts();
    cluster.isolate(0);
    cluster.wait_for_successor(0, &before);
    let sent = cluster
        .trace
        .count(|record| matches!(record, TraceRecord::CallStarted { instance: 0, .. }));
    for number in 0..5 {
        let event = EventRequest::new(&format!("cut-{number}"), Idempotency::Idempotent)
            .response_timeout(Duration::from_secs(1));
        assert_ne!(cluster.submit(0, &event), Answer::Accepted);
    }
    assert_eq!(
        cluster
            .trace
            .count(|record| matches!(record, TraceRecord::CallStarted { instance: 0, .. })),
        sent
    );
    cluster.set_target_behavior(crate::IMMEDIATE);
    cluster.heal(0);
    cluster.wait_until_accepting(0);
    cluster.check_invariants();
}

/// Guards against answering 503 for an event that may take effect later.
#[rstest]
fn events_rejected_during_isolation_never_take_effect() {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(14, 6);
    load.wait_for_accepted(60);
    for _ in 0..2 {
        cluster.isolate(0);
        load.wait_for_accepted(60);
        cluster.heal(0);
        cluster.wait_until_accepting(0);
    }
    load.stop();
    cluster.check_invariants();
}

#[rstest]
#[case(Direction::Forward)]
#[case(Direction::Back)]
fn one_way_links_violate_no_invariant(#[case] direction: Direction) {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(15, 6);
    load.wait_for_accepted(60);
    cluster.inject_link_fault(0, |owner| {
        owner
            .peers
            .iter()
            .for_each(|link| link.set_delivery(direction, Delivery::Stalled))
    });
    load.wait_for_accepted(60);
    cluster.heal(0);
    cluster.wait_until_accepting(0);
    load.stop();
    cluster.check_invariants();
}

#[rstest]
fn a_slow_replica_does_not_block_the_others() {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(16, 6);
    cluster.inject_peer_link_fault(1, |link| link.delay(Duration::from_millis(80)));
    load.wait_for_accepted(150);
    cluster.heal(1);
    load.wait_for_accepted(60);
    load.stop();
    cluster.check_invariants();
}

/// Guards against accepting a truncated frame as complete.
#[rstest]
fn links_reset_within_a_frame_lose_no_event() {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(17, 6);
    for after in [0, 3, 9, 40, 200] {
        cluster.inject_peer_link_fault(0, |link| link.truncate_next(Direction::Forward, after));
        load.wait_for_accepted(30);
        cluster.inject_peer_link_fault(0, |link| link.truncate_next(Direction::Back, after));
        load.wait_for_accepted(30);
        cluster.heal(0);
    }
    load.stop();
    cluster.check_invariants();
}

/// Noise, a truncated frame, an oversized frame, and another protocol.
const INVALID_INPUT: [&[u8]; 4] = [
    &[0x5a; 600],
    &[
        16, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20,
    ],
    &[0xff; 8],
    b"POST /job HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
];

/// A connection with invalid frames is closed without an effect on the fleet.
#[rstest]
fn connections_with_invalid_frames_are_closed_and_the_fleet_is_not_affected() {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(18, 6);
    for bytes in INVALID_INPUT.into_iter().cycle().take(40) {
        let mut stream =
            TcpStream::connect(cluster.instances[0].listen_addresses[1].address).expect("connects");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("sets the timeout");
        let _ = stream.write_all(bytes);
        let closed = match stream.read(&mut [0; 64]) {
            Ok(read) => read == 0,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        };
        assert!(closed, "the connection is closed without a response");
    }
    load.wait_for_accepted(60);
    load.stop();
    cluster.check_invariants();
}

#[rstest]
fn an_instance_of_another_fleet_is_rejected_and_the_fleet_is_not_affected() {
    let mut cluster = Cluster::replicated(3);
    let load = cluster.load(19, 6);
    cluster.kill(2);
    let file = cluster.process(2).directory().join("fleet.toml");
    let original = std::fs::read_to_string(&file).expect("reads the fleet file");
    std::fs::write(&file, original.replace("\"stories\"", "\"others\""))
        .expect("writes the fleet file");
    cluster.launch(2);
    cluster.process(0).wait_for_log("another fleet", 0);
    load.wait_for_accepted(60);
    cluster.instances[2].process.kill();
    std::fs::write(&file, original).expect("writes the fleet file");
    cluster.start(2);
    cluster.wait_until_accepting(2);
    load.stop();
    cluster.check_invariants();
}
