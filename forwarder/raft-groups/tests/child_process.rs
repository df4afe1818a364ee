//! Tests that need their own process: the test runs itself as a child process.

use std::io::{BufRead, BufReader};
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use plankhill_raft_groups::disk::{group_log::GroupLog, identity};
use plankhill_raft_groups::replica::effects::{HardState, PersistRequest};
use plankhill_raft_groups::replica::PersistedState;
use plankhill_raft_groups::watchdog::Watchdog;
use plankhill_raft_groups::{GroupId, Incarnation, Purpose};
use rstest::rstest;

fn child(test: &str) -> Child {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command
        .args([test, "--exact", "--nocapture"])
        .env("FLEET_CHILD", "1");
    command.stdout(Stdio::piped()).spawn().unwrap()
}

fn is_child() -> bool {
    std::env::var_os("FLEET_CHILD").is_some()
}

fn wait_for(child: &mut Child, line: &str) {
    let lines = BufReader::new(child.stdout.as_mut().unwrap()).lines();
    assert!(
        lines.map_while(Result::ok).any(|l| l.contains(line)),
        "the child did not print {line:?}"
    );
}

fn send(child: &Child, signal: i32) {
    // SAFETY: sends a signal to a child that has not been waited for yet.
    assert_eq!(unsafe { libc::kill(child.id() as i32, signal) }, 0);
}

/// A process that is stopped while it feeds its watchdog is killed without resuming; a process that merely stops
/// feeding is killed as well.
#[rstest]
#[case::stopped(true)]
#[case::hung(false)]
fn a_process_that_does_not_feed_its_watchdog_is_ended_by_the_kernel(#[case] stopped: bool) {
    if is_child() {
        let watchdog = Watchdog::new(400.0).unwrap();
        for iteration in 0.. {
            if iteration == 40 {
                // By now the process has run longer than the timeout, so the watchdog was fed.
                println!("lives");
            }
            if stopped || iteration < 40 {
                watchdog.feed();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    let case = if stopped {
        "case_1_stopped"
    } else {
        "case_2_hung"
    };
    let mut child = child(&format!(
        "a_process_that_does_not_feed_its_watchdog_is_ended_by_the_kernel::{case}"
    ));
    wait_for(&mut child, "lives");
    if stopped {
        send(&child, libc::SIGSTOP);
    }
    assert_eq!(child.wait().unwrap().signal(), Some(libc::SIGKILL));
}

/// Limits the size of the child's files, which simulates a full disk.
fn limit_file_size(bytes: u64) {
    let limit = libc::rlimit {
        rlim_cur: bytes,
        rlim_max: libc::RLIM_INFINITY,
    };
    // SAFETY: plain values; the signal for exceeding the limit is ignored, so that the call fails instead.
    unsafe {
        libc::signal(libc::SIGXFSZ, libc::SIG_IGN);
        assert_eq!(libc::setrlimit(libc::RLIMIT_FSIZE, &limit), 0);
    }
}

#[test]
fn a_full_disk_refuses_writes_and_accepted_writes_are_complete() {
    if !is_child() {
        let mut child = child("a_full_disk_refuses_writes_and_accepted_writes_are_complete");
        wait_for(&mut child, "test result: ok");
        assert!(child.wait().unwrap().success());
        return;
    }
    let folder = tempfile::TempDir::new().unwrap();
    identity::begin_start(folder.path()).unwrap();
    let group = GroupId {
        founder: Incarnation(1),
        number: 1,
    };
    let mut log = GroupLog::create(
        folder.path(),
        group,
        Purpose::EventLog,
        &PersistedState::default(),
    )
    .unwrap();
    let persist = |index: u64| {
        let entry = raft::eraftpb::Entry {
            index,
            term: 1,
            data: vec![index as u8; 1000].into(),
            ..Default::default()
        };
        PersistRequest {
            number: index,
            hard_state: Some(HardState {
                term: 1,
                vote: 0,
                commit: 0,
            }),
            entries: vec![entry],
            base: None,
        }
    };
    limit_file_size(5_500);
    let mut index = 1;
    while log.persist(&[persist(index)]).is_ok() {
        index += 1;
    }
    assert!((3..7).contains(&index), "{index}");
    assert!(log.persist(&[persist(index)]).is_err());
    let (_, stored) = GroupLog::open(folder.path(), group).unwrap();
    assert_eq!(stored.entries.len() as u64, index - 1);
    limit_file_size(libc::RLIM_INFINITY);
    log.persist(&[persist(index), persist(index + 1)]).unwrap();
    let (_, stored) = GroupLog::open(folder.path(), group).unwrap();
    let all: Vec<u64> = stored.entries.iter().map(|e| e.index).collect();
    assert_eq!(all, (1..=index + 1).collect::<Vec<_>>());
}
