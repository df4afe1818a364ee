//! Thirty processes start at once with full event logs, while discovery refuses connections, does
//! not respond or trickles its response: nine in ten are ready within the required ten seconds. The
//! times are printed.

mod peers;

use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use plankhill_event_log::{AcceptedEvent, EventLog, Outcome};
use rstest::rstest;
use serde_json::json;

use peers::*;

const PROCESSES: usize = 30;
/// Required: nine in ten restarted processes are ready within this time.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// `limits.disk_mb` of the tests' configuration, in bytes.
const MAX_DISK_BYTES: u64 = 3_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum DiscoveryMode {
    RefusesConnections,
    Unresponsive,
    Trickling,
}

/// Starts discovery. The returned listener keeps the connections of a discovery that accepts open
/// until the test ends.
fn discovery(mode: DiscoveryMode) -> (SocketAddr, Option<TcpListener>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let trickle = move |mut stream: TcpStream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        while stream.write_all(b" ").is_ok() {
            thread::sleep(Duration::from_millis(20));
        }
    };
    match mode {
        // The listener is dropped, and the port refuses connections.
        DiscoveryMode::RefusesConnections => (address, None),
        // The backlog takes connections, which are never read.
        DiscoveryMode::Unresponsive => (address, Some(listener)),
        DiscoveryMode::Trickling => {
            let accepting = listener.try_clone().expect("a descriptor");
            thread::spawn(move || {
                for stream in accepting.incoming().map_while(Result::ok) {
                    thread::spawn(move || trickle(stream));
                }
            });
            (address, Some(listener))
        }
    }
}

/// Fills an event log as far as a process would, with untried events, events with a call in flight,
/// and unacknowledged outcomes. Returns the number of events.
fn fill(folder: &std::path::Path) -> usize {
    let (mut log, _) = EventLog::open(folder, MAX_DISK_BYTES).expect("opens");
    let mut accepted = 0;
    while log.has_capacity_for(1000) {
        let id = format!("e{accepted}");
        log.accept(AcceptedEvent {
            id: id.clone().into(),
            destination: 1,
            traffic_type: ["job", "order", "charge"][accepted % 3].into(),
            deadline: 4e12,
            key: Some(accepted as u64 % 50),
            fingerprint: Some(format!("f{accepted}").into()),
            body: vec![7; 1000].into(),
            guarantee: None,
        });
        match accepted % 4 {
            1 => log.record_attempt(&id, 1.0, "z"),
            2 => log.record_outcome(&id, Outcome::Abandoned, None),
            _ => (),
        }
        log.commit().expect("write succeeds");
        accepted += 1;
    }
    accepted
}

#[rstest]
fn thirty_concurrent_starts_are_ready_in_time_without_discovery(
    #[values(
        DiscoveryMode::RefusesConnections,
        DiscoveryMode::Unresponsive,
        DiscoveryMode::Trickling
    )]
    mode: DiscoveryMode,
) {
    let (target, _calls) = stub_server();
    let (address, _listener) = discovery(mode);
    let folders: Vec<_> = (0..PROCESSES)
        .map(|number| {
            let name = format!("plankhill-many-{}-{mode:?}-{number}", std::process::id());
            let folder = std::env::temp_dir().join(name);
            fs::create_dir_all(&folder).expect("a folder for the test");
            let mut config = config(address, target);
            config["settings"]["allowed"]["maxOpen"] = json!(5000);
            fs::write(folder.join("config.json"), config.to_string()).expect("written");
            let events = fill(&folder);
            assert!(events > 300, "{events} events are not a full event log");
            folder
        })
        .collect();
    let started_at = Instant::now();
    let starts: Vec<_> = folders
        .into_iter()
        .map(|folder| {
            thread::spawn(move || {
                let forwarder = Forwarder::start_in(folder);
                while forwarder.exchange(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").0 != 200 {
                    assert!(started_at.elapsed() < TIMEOUT, "the forwarder is not ready");
                    thread::sleep(Duration::from_millis(5));
                }
                (started_at.elapsed().as_secs_f64(), forwarder)
            })
        })
        .collect();
    let ready: Vec<_> = starts
        .into_iter()
        .map(|start| start.join().expect("process is ready"))
        .collect();
    let mut times: Vec<f64> = ready.iter().map(|(time, _)| *time).collect();
    times.sort_by(f64::total_cmp);
    let (median, nine_in_ten, last) = (
        times[PROCESSES / 2],
        times[PROCESSES * 9 / 10 - 1],
        times[PROCESSES - 1],
    );
    println!("{mode:?}: ready after {median:.2} s (median), {nine_in_ten:.2} s (nine in ten), {last:.2} s (last)");
    assert!(nine_in_ten < READY_LIMIT.as_secs_f64());
}
