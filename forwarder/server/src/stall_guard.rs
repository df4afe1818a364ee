//! A poll of all sockets before a decision, for a process that may have stood still: what arrived meanwhile lies unread
//! in the sockets, and timers that came due meanwhile are due at once. Without the poll the reactor fires the timers
//! first, or goes on with what it had in hand when the process was stopped, and a call leaves for a target whose drain
//! was reported long ago.
//!
//! Called by the event loop, by calls to targets and at shutdown.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

/// A process may have stood still if so much time passes between two decisions. Under load decisions come closer, and
/// cost no poll; shorter stalls are within the platform's slack of 50 ms.
pub const MAX_GAP: Duration = Duration::from_millis(5);
/// A wait that goes through the reactor: as short as a timer takes.
const REACTOR_TURN: Duration = Duration::from_micros(20);

/// Returns once the tasks that wait for their sockets have read what lay in them.
pub async fn poll_all_sockets() {
    loop {
        let began = Instant::now();
        // The reactor may turn in its own thread, and wake this task before the others of the same turn: those are
        // woken for certain when it has turned again.
        turn_reactor().await;
        turn_reactor().await;
        // Behind the tasks that the reactor woke.
        future::yield_now().await;
        // Otherwise the process stood still in here.
        if began.elapsed() < MAX_GAP {
            return;
        }
    }
}

/// One turn of the reactor, which polls all sockets.
async fn turn_reactor() {
    loop {
        let mut timer = Timer::after(REACTOR_TURN);
        // A timer that is over when it is first polled has not been at the reactor.
        if future::poll_once(&mut timer).await.is_none() {
            timer.await;
            return;
        }
    }
}
