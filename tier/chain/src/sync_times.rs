//! Durations of the syncs of this member's disk.

use std::collections::VecDeque;

use crate::effect::Millis;

/// Number of retained sync durations. Members report the median, so that one long sync, such as
/// that of a snapshot, has no effect and three similar ones in a row do.
const MAX_SAMPLES: usize = 5;

/// Durations of the most recent syncs, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct SyncTimes {
    samples: VecDeque<Millis>,
}

impl SyncTimes {
    /// Records the duration of a completed sync.
    pub(crate) fn record(&mut self, sync_time: Millis) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sync_time);
    }

    /// Median of the retained durations, the lower one of two middle values; `None` before the
    /// first sync.
    pub(crate) fn median(&self) -> Option<Millis> {
        lower_median(self.samples.iter().copied().collect())
    }
}

/// Median of the times, the lower one of two middle values.
pub(crate) fn lower_median(mut times: Vec<Millis>) -> Option<Millis> {
    times.sort_unstable();
    let middle = times.len().checked_sub(1)? / 2;
    times.get(middle).copied()
}
