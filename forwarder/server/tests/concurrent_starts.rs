//! Thirty processes started at once over full ledgers, while discovery refuses, is mute, trickles,
//! or answers after a time: each is ready within the page's ten seconds. The times are printed.

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
/// Of the page: nine in ten restarted processes are ready by then.
const BOUND: Duration = Duration::from_secs(10);
/// As the configuration of the stories has it.
const DISK: u64 = 3_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Discovery {
    Refuses,
    Mute,
    Trickles,
}

/// What accepts and does not answer holds its connections until the test is over.
fn discovery(manner: Discovery) -> (SocketAddr, Option<TcpListener>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let trickle = move |mut stream: TcpStream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
        while stream.write_all(b" ").is_ok() {
            thread::sleep(Duration::from_millis(20));
        }
    };
    match manner {
        // Nobody listens at the port any more.
        Discovery::Refuses => (address, None),
        // The queue takes connections that nobody reads from.
        Discovery::Mute => (address, Some(listener)),
        Discovery::Trickles => {
            let taken = listener.try_clone().expect("a descriptor");
            thread::spawn(move || {
                for stream in taken.incoming().map_while(Result::ok) {
                    thread::spawn(move || trickle(stream));
                }
            });
            (address, Some(listener))
        }
    }
}

/// As full as a process would let it get: untried events, such as were out, and ends that nobody
/// has heard.
fn fill(folder: &std::path::Path) -> usize {
    let (mut ledger, _) = EventLog::open(folder, DISK).expect("opens");
    let mut taken = 0;
    while ledger.has_capacity_for(1000) {
        let id = format!("e{taken}");
        ledger.accept(AcceptedEvent {
            id: id.clone().into(),
            destination: 1,
            traffic_type: ["job", "order", "charge"][taken % 3].into(),
            deadline: 4e12,
            key: Some(taken as u64 % 50),
            fingerprint: Some(format!("f{taken}").into()),
            body: vec![7; 1000].into(),
            guarantee: None,
        });
        match taken % 4 {
            1 => ledger.record_attempt(&id, 1.0, "z"),
            2 => ledger.record_outcome(&id, Outcome::Abandoned, None),
            _ => (),
        }
        ledger.commit().expect("write succeeds");
        taken += 1;
    }
    taken
}

#[rstest]
fn thirty_at_once_are_ready_in_time_whatever_discovery_does(
    #[values(Discovery::Refuses, Discovery::Mute, Discovery::Trickles)] manner: Discovery,
) {
    let (target, _calls) = stand_in();
    let (address, _held) = discovery(manner);
    let folders: Vec<_> = (0..PROCESSES)
        .map(|number| {
            let name = format!("plankhill-many-{}-{manner:?}-{number}", std::process::id());
            let folder = std::env::temp_dir().join(name);
            fs::create_dir_all(&folder).expect("a folder for the test");
            let mut config = config(address, target);
            config["settings"]["allowed"]["maxOpen"] = json!(5000);
            fs::write(folder.join("config.json"), config.to_string()).expect("written");
            let events = fill(&folder);
            assert!(events > 300, "{events} events are not a full ledger");
            folder
        })
        .collect();
    let begun = Instant::now();
    let starts: Vec<_> = folders
        .into_iter()
        .map(|folder| {
            thread::spawn(move || {
                let forwarder = Forwarder::start_in(folder);
                while forwarder.exchange(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").0 != 200 {
                    assert!(begun.elapsed() < LONG, "is not ready");
                    thread::sleep(Duration::from_millis(5));
                }
                (begun.elapsed().as_secs_f64(), forwarder)
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
    println!("{manner:?}: ready after {median:.2} s (median), {nine_in_ten:.2} s (nine in ten), {last:.2} s (last)");
    assert!(nine_in_ten < BOUND.as_secs_f64());
}
