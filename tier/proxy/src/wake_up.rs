//! The timer for the next poll of the dispatcher. Owned by [`crate::admission`].

use std::cell::Cell;

use plankhill_dispatch::Ms;
use tokio::sync::Notify;

use crate::clock::Clock;

/// A timer that may be set to an earlier time while a task waits for it.
#[derive(Debug, Default)]
pub(crate) struct WakeUp {
    at: Cell<Option<Ms>>,
    changed: Notify,
}

impl WakeUp {
    /// Sets the time unless an earlier one is set. A later time is ignored: the dispatcher requests
    /// it again at its next poll.
    pub(crate) fn set_if_earlier(&self, at: Ms) {
        if self.at.get().is_none_or(|set| at < set) {
            self.at.set(Some(at));
            self.changed.notify_one();
        }
    }

    /// Returns when the time is reached, and clears it.
    pub(crate) async fn due(&self, clock: Clock) {
        loop {
            let Some(at) = self.at.get() else {
                self.changed.notified().await;
                continue;
            };
            tokio::select! {
                () = tokio::time::sleep_until(clock.instant(at)) => {
                    self.at.set(None);
                    return;
                }
                () = self.changed.notified() => {}
            }
        }
    }
}
