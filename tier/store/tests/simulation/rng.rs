//! A seeded pseudorandom number generator (splitmix64).

use std::ops::Range;

pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn random_range(&mut self, range: Range<u64>) -> u64 {
        range.start + self.next() % (range.end - range.start)
    }

    pub fn random_bool(&mut self, percent: u64) -> bool {
        self.random_range(0..100) < percent
    }

    pub fn choose<'a, T>(&mut self, list: &'a [T]) -> Option<&'a T> {
        let length = list.len() as u64;
        (length > 0).then(|| &list[self.random_range(0..length) as usize])
    }
}
