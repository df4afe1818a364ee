//! A look at all sockets before a decision, for a process that may have stood still: what came meanwhile lies in
//! them unread, and what was due meanwhile is due at once. Without a look the reactor fires the timers first, or goes on
//! with what it had in hand when it was stopped, and a call leaves for a target whose drain has long been told.

use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

/// So long without a decision, and it may have stood still. Under load decisions come closer, and cost no look;
/// shorter stalls are within the platform's slack of 50 ms.
pub const STILL: Duration = Duration::from_millis(5);
/// The wait that goes through the reactor: as good as none.
const THROUGH: Duration = Duration::from_micros(20);

/// Returns once those who wait for their sockets have read what lay in them.
pub async fn all_sockets() {
    loop {
        let began = Instant::now();
        // The reactor may turn in its own thread, and wake us before the others of the same turn: those are woken for
        // certain when it has turned again.
        turn().await;
        turn().await;
        // Behind those whom it woke.
        future::yield_now().await;
        // Or it stood still in here.
        if began.elapsed() < STILL {
            return;
        }
    }
}

/// One turn of the reactor, which looks at all sockets.
async fn turn() {
    loop {
        let mut wait = Timer::after(THROUGH);
        // One that is over when it is first asked for has not been at the reactor.
        if future::poll_once(&mut wait).await.is_none() {
            wait.await;
            return;
        }
    }
}
