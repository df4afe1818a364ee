//! The queue of future steps, ordered by time. A radix heap: time is monotonic in the simulation, so
//! that an entry is sorted again only as its time approaches. It was chosen over a binary heap by the
//! measurement in `docs/emulator.md`.

use plankhill_forwarder_config::scenario::Ms;

/// Entries are removed in the order of their time; entries of one instant in the order of insertion.
pub struct Queue<T> {
    /// Bucket 0 contains the entries due at `last`; bucket n those whose time differs from `last` in
    /// bit n - 1 as the highest bit.
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
    /// Adds an entry. A time earlier than the last one popped counts as the last one popped.
    pub fn put(&mut self, at: Ms, entry: T) {
        // Nonnegative floats have the same order as their bits.
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
        let entry = self
            .due
            .pop_front()
            .expect("advance found at least one entry");
        Some((f64::from_bits(self.last), entry))
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn bucket(key: u64, last: u64) -> usize {
        64 - (key ^ last).leading_zeros() as usize
    }

    /// Advances to the earliest time and sorts its bucket's entries into lower ones, keeping their
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
        // The allocation is kept for later entries, unless a burst left it far too large.
        if entries.capacity() <= 4096 {
            self.buckets[lowest] = entries;
        }
        Some(())
    }
}
