//! The queue of what is still to happen, by its time. A radix heap: time never runs backwards in a
//! model, so that an entry needs to be looked at again only when the time comes near it.
//! `docs/emulator.md` has the measurement that chose it over a binary heap.

use plankhill_forwarder_config::scenario::Ms;

/// Entries leave in the order of their time; those of one instant in the order in which they were
/// put in.
pub struct Queue<T> {
    /// Bucket 0 holds what is due at `last`; bucket n what differs from it in bit n - 1 at the
    /// highest.
    buckets: Vec<Vec<(u64, T)>>,
    due: std::collections::VecDeque<T>,
    last: u64,
    len: usize,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        let buckets = (0..65).map(|_| Vec::new()).collect();
        Queue {
            buckets,
            due: std::collections::VecDeque::new(),
            last: 0,
            len: 0,
        }
    }
}

impl<T> Queue<T> {
    /// `at` is no earlier than what was last popped: an earlier time counts as that one.
    pub fn put(&mut self, at: Ms, entry: T) {
        // The bits of times that are not negative are in their order.
        let key = at.max(0.0).to_bits().max(self.last);
        self.len += 1;
        match Self::bucket(key, self.last) {
            0 => self.due.push_back(entry),
            bucket => self.buckets[bucket].push((key, entry)),
        }
    }

    /// Takes the earliest entry, with its time in milliseconds.
    pub fn pop(&mut self) -> Option<(Ms, T)> {
        if self.due.is_empty() {
            self.advance()?;
        }
        self.len -= 1;
        let entry = self.due.pop_front().expect("advanced to one at least");
        Some((f64::from_bits(self.last), entry))
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is left to happen.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn bucket(key: u64, last: u64) -> usize {
        64 - (key ^ last).leading_zeros() as usize
    }

    /// Moves on to the earliest time and sorts its bucket's entries into lower ones, keeping their
    /// order.
    fn advance(&mut self) -> Option<()> {
        let lowest = self.buckets.iter().position(|bucket| !bucket.is_empty())?;
        let mut entries = std::mem::take(&mut self.buckets[lowest]);
        self.last = entries
            .iter()
            .map(|(key, _)| *key)
            .min()
            .expect("not empty");
        for (key, entry) in entries.drain(..) {
            match Self::bucket(key, self.last) {
                0 => self.due.push_back(entry),
                bucket => self.buckets[bucket].push((key, entry)),
            }
        }
        // The allocation is kept for later entries, unless a burst had left it far too large.
        if entries.capacity() <= 4096 {
            self.buckets[lowest] = entries;
        }
        Some(())
    }
}
