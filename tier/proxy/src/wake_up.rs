//! The timer at which the dispatcher wants to be asked again. Owned by [`crate::admission`].

use std::cell::Cell;

use plankhill_dispatch::Ms;
use tokio::sync::Notify;

use crate::clock::Clock;

/// A time that may be set earlier while it is waited for.
#[derive(Debug, Default)]
pub(crate) struct WakeUp {
    at: Cell<Option<Ms>>,
    changed: Notify,
}

impl WakeUp {
    /// Sets the time unless an earlier one is set. A later one needs no change: the dispatcher sets
    /// it again when it is asked.
    pub(crate) fn set_if_earlier(&self, at: Ms) {
        if self.at.get().is_none_or(|set| at < set) {
            self.at.set(Some(at));
            self.changed.notify_one();
        }
    }

    /// Returns when the time has come; none is set then.
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
