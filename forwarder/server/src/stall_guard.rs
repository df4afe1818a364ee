//! Poll of all sockets before a decision, for a process that may have stalled: bytes that arrived
//! during the stall are unread in the sockets, and timers that became due during it fire at once.
//! Without the poll the reactor fires the timers first, or continues with the events that it had
//! when the process was stopped, and a call is sent to a target whose drain was reported long
//! before.
//!
//! Called by the event loop, by calls to targets and at shutdown.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

/// A process may have stalled if more time than this passes between two decisions. Under load
/// decisions are closer together, and cost no poll; shorter stalls are within the platform's slack
/// of 50 ms.
pub const MAX_GAP: Duration = Duration::from_millis(5);
/// Duration of a timer that makes its task wait for the reactor, as short as possible.
const REACTOR_TURN: Duration = Duration::from_micros(20);

/// Returns once the tasks that wait for their sockets have read the bytes received so far.
pub async fn poll_all_sockets() {
    loop {
        let began = Instant::now();
        // The reactor may run in its own thread, and wake this task before the others of the same
        // turn: after another turn all of those are woken.
        turn_reactor().await;
        turn_reactor().await;
        // Lets the tasks that the reactor woke run first.
        future::yield_now().await;
        // Otherwise the process stalled during the poll.
        if began.elapsed() < MAX_GAP {
            return;
        }
    }
}

/// One turn of the reactor, which polls all sockets.
async fn turn_reactor() {
    loop {
        let mut timer = Timer::after(REACTOR_TURN);
        // A timer that has expired at its first poll was not registered with the reactor.
        if future::poll_once(&mut timer).await.is_none() {
            timer.await;
            return;
        }
    }
}
