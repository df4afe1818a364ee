//! Tests that a member rejoins after it missed operations, while further operations are committed.

mod common;

use std::time::Instant;

use common::{start_three_machines, Machine, WordList, REPLACE_PREFIX, TEST_TIMEOUT};
use plankhill_replica::ReplicaHandle;

/// The disk size of a core machine in the known deployments, in bytes.
const DISK_BYTES: u64 = 128_000_000;
/// The largest configuration that a controller accepts, in bytes. Debug builds use a smaller one,
/// because each configuration of the full size takes them seconds.
const MAX_CONFIGURATION_BYTES: usize = if cfg!(debug_assertions) {
    512 * 1024
} else {
    8 * 1024 * 1024
};

/// Proposes a word until it is committed. A busy member may consider itself partitioned, in which
/// case callers retry.
async fn propose(handle: &ReplicaHandle<WordList>, word: &str) {
    let started = Instant::now();
    while handle.propose(word.to_owned(), TEST_TIMEOUT).await.is_err() {
        assert!(started.elapsed() < TEST_TIMEOUT, "no answer");
        tokio::task::yield_now().await;
    }
}

/// Commits `count` operations, at most `concurrency` of them at once.
async fn propose_many(machine: &Machine, count: usize, concurrency: usize) {
    let mut pending = tokio::task::JoinSet::new();
    for number in 0..count {
        if pending.len() >= concurrency {
            pending.join_next().await;
        }
        let handle = machine.handle().clone();
        pending.spawn(async move { propose(&handle, &format!("{REPLACE_PREFIX}{number}")).await });
    }
    while pending.join_next().await.is_some() {}
}

/// Checks that the member is part of the chain again and has the last committed word.
async fn assert_rejoined_with_newest(machine: &Machine, newest: &str) {
    machine
        .wait_for_status(|status| status.is_in_chain && status.chain.len() == 3)
        .await;
    let started = Instant::now();
    let state = loop {
        if let Ok(state) = machine.handle().read(TEST_TIMEOUT).await {
            break state;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "no answer");
        tokio::task::yield_now().await;
    };
    assert!(state.state.0 == [newest], "{} words", state.state.0.len());
}

#[tokio::test(flavor = "current_thread")]
async fn a_member_rejoins_after_missing_five_to_five_thousand_operations() {
    let mut machines = start_three_machines().await;
    machines[0].wait_until_current().await;
    for (down, count) in [5, 500, 5_000].into_iter().enumerate() {
        machines[down].kill().await;
        machines[down].settings.bootstrap = false;
        let survivor = (down + 1) % 3;
        machines[survivor]
            .wait_for_status(|status| status.chain.len() == 2)
            .await;
        propose_many(&machines[survivor], count, 200).await;
        machines[down].start();
        let restarted = Instant::now();
        // Further operations are committed while the member catches up.
        propose_many(&machines[survivor], 200, 20).await;
        propose(
            machines[survivor].handle(),
            &format!("{REPLACE_PREFIX}last"),
        )
        .await;
        assert_rejoined_with_newest(&machines[down], &format!("{REPLACE_PREFIX}last")).await;
        println!("{count} operations: back after {:?}", restarted.elapsed());
    }
}

/// Returns a configuration of about `bytes` bytes with routes that differ in their names, hosts and
/// numbers.
fn large_configuration(number: u64, bytes: usize) -> String {
    use std::fmt::Write;
    let mut random = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut next = || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random
    };
    let mut text = format!("{REPLACE_PREFIX}{number}");
    while text.len() + 320 < bytes {
        // Writing to a `String` cannot fail.
        let _ = write!(
            text,
            "{{\"name\":\"r{:012x}\",\"host\":\"h{}.example\",\"path_prefix\":\"/p{:08x}/\",\
             \"type\":\"idempotent\",\"target_latency_ms\":{},\"priority\":0,\"max_attempts\":2,\
             \"retained\":false,\"retention_s\":60.0,\"session_affinity\":false,\"resumable\":false,\
             \"gap_aim_ms\":400,\"service\":\"s{}\",\"timeout_ms\":{}}},",
            next() >> 16,
            next() % 500,
            next() >> 32,
            next() % 900,
            next() % 40,
            next() % 9_000,
        );
    }
    text
}

/// Number of consecutive large configurations; fewer in debug builds, which take long for each.
const LARGE_CHANGES: u64 = if cfg!(debug_assertions) { 12 } else { 300 };

/// Maximum percentage of the disk that consecutive large configurations may occupy. With 300
/// configurations of 8 MiB, 66 percent were measured, most of it the journal of the database
/// (`docs/system/hardening.md`).
const MAX_DISK_PERCENT: u64 = 70;

/// Disk usage stays bounded even if the process is killed at the moment of the highest usage.
#[tokio::test(flavor = "current_thread")]
async fn a_member_rejoins_after_large_operations_and_the_disk_stays_bounded() {
    let mut machines = start_three_machines().await;
    machines[0].wait_until_current().await;
    machines[2].kill().await;
    machines[2].settings.bootstrap = false;
    machines[0]
        .wait_for_status(|status| status.chain.len() == 2)
        .await;
    let mut last = String::new();
    let mut most = 0;
    for number in 0..LARGE_CHANGES {
        last = large_configuration(number, MAX_CONFIGURATION_BYTES);
        propose(machines[0].handle(), &last).await;
        let now = machines[0].bytes_on_disk();
        if now > most && number > LARGE_CHANGES / 2 {
            // The highest usage so far: the existing files have to be reopened, and new files are
            // written beside them.
            machines[1].kill().await;
            machines[1].settings.bootstrap = false;
            machines[1].start();
            machines[0]
                .wait_for_status(|status| status.chain.len() == 2)
                .await;
        }
        most = most.max(now).max(machines[1].bytes_on_disk());
    }
    machines[2].start();
    let restarted = Instant::now();
    assert_rejoined_with_newest(&machines[2], &last).await;
    most = most.max(machines[2].bytes_on_disk());
    println!(
        "{LARGE_CHANGES} of {MAX_CONFIGURATION_BYTES} bytes: {most} bytes on disk at most, back after {:?}",
        restarted.elapsed()
    );
    assert!(
        most < DISK_BYTES * MAX_DISK_PERCENT / 100,
        "{most} bytes on disk"
    );
}
