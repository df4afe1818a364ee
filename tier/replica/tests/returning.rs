//! A member that was away while operations went on, and comes back while they do.

mod common;

use std::time::Instant;

use common::{three, Machine, Words, ONLY, PATIENCE};
use plankhill_replica::ReplicaHandle;

/// The disk of a core machine in the deployments known, in bytes.
const DISK_BYTES: u64 = 128_000_000;
/// The largest configuration that a controller takes, in bytes; debug builds take seconds for each of that size.
const LARGEST: usize = if cfg!(debug_assertions) {
    512 * 1024
} else {
    8 * 1024 * 1024
};

/// Gets a word committed. A member that is busy may take itself for cut off: callers ask again then, as here.
async fn say(log: &ReplicaHandle<Words>, word: &str) {
    let asked = Instant::now();
    while log.propose(word.to_owned(), PATIENCE).await.is_err() {
        assert!(asked.elapsed() < PATIENCE, "no answer");
        tokio::task::yield_now().await;
    }
}

/// Gets so many operations committed, some of them at once.
async fn say_many(machine: &Machine, count: usize, at_once: usize) {
    let mut waiting = tokio::task::JoinSet::new();
    for number in 0..count {
        if waiting.len() >= at_once {
            waiting.join_next().await;
        }
        let log = machine.log().clone();
        waiting.spawn(async move { say(&log, &format!("{ONLY}{number}")).await });
    }
    while waiting.join_next().await.is_some() {}
}

/// The member is back, and holds what was committed last.
async fn holds_the_newest(machine: &Machine, newest: &str) {
    machine
        .until(|standing| standing.in_chain && standing.chain.len() == 3)
        .await;
    let asked = Instant::now();
    let state = loop {
        if let Ok(state) = machine.log().read(PATIENCE).await {
            break state;
        }
        assert!(asked.elapsed() < PATIENCE, "no answer");
        tokio::task::yield_now().await;
    };
    assert!(state.state.0 == [newest], "{} words", state.state.0.len());
}

#[tokio::test(flavor = "current_thread")]
async fn after_five_five_hundred_and_five_thousand_operations() {
    let mut machines = three().await;
    machines[0].until_reaches_others().await;
    for (away, count) in [5, 500, 5_000].into_iter().enumerate() {
        machines[away].kill().await;
        machines[away].settings.bootstrap = false;
        let alive = (away + 1) % 3;
        machines[alive]
            .until(|standing| standing.chain.len() == 2)
            .await;
        say_many(&machines[alive], count, 200).await;
        machines[away].start();
        let began = Instant::now();
        // Changes go on meanwhile.
        say_many(&machines[alive], 200, 20).await;
        say(machines[alive].log(), &format!("{ONLY}last")).await;
        holds_the_newest(&machines[away], &format!("{ONLY}last")).await;
        println!("{count} operations: back after {:?}", began.elapsed());
    }
}

#[tokio::test(flavor = "current_thread")]
async fn after_large_operations_within_the_disk() {
    let mut machines = three().await;
    machines[0].until_reaches_others().await;
    machines[2].kill().await;
    machines[2].settings.bootstrap = false;
    machines[0]
        .until(|standing| standing.chain.len() == 2)
        .await;
    let mut last = String::new();
    let mut most = 0;
    for number in 0..30 {
        last = format!("{ONLY}{number} {}", "x".repeat(LARGEST - 64));
        say(machines[0].log(), &last).await;
        most = most.max(machines[0].bytes_on_disk());
    }
    machines[2].start();
    let began = Instant::now();
    holds_the_newest(&machines[2], &last).await;
    println!(
        "30 of {LARGEST} bytes: {most} bytes on disk at most, back after {:?}",
        began.elapsed()
    );
    assert!(most < DISK_BYTES, "{most} bytes on disk");
}
