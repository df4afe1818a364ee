//! Loopback addresses reserved for one test process.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Port on which a process listens to reserve a network.
const GUARD_PORT: u16 = 26_900;
/// Maximum number of networks tried.
const MAX_ATTEMPTS: u64 = 1_000;
/// Number of hosts of a network that are assigned in turn.
const HOSTS: u16 = 250;
/// Port of the first round of assigned addresses; below the ephemeral port range.
const FIRST_PORT: u16 = 20_000;

/// A /24 network in 127.0.0.0/8, reserved until this value is dropped: its addresses stay free while
/// a process of the test is down.
pub struct LoopbackNetwork {
    second: u8,
    third: u8,
    assigned: AtomicU16,
    _guard: TcpListener,
}

impl LoopbackNetwork {
    /// Reserves a free network.
    ///
    /// # Panics
    /// Panics if no free network is found.
    pub fn reserve() -> Self {
        let random = RandomState::new();
        for attempt in 0..MAX_ATTEMPTS {
            let hash = random.hash_one(attempt);
            // Excludes 127.0.0.0/16, which other programs use.
            let second = 1 + (hash % 250) as u8;
            let third = 1 + (hash / 250 % 250) as u8;
            let guard = SocketAddr::from((Ipv4Addr::new(127, second, third, 254), GUARD_PORT));
            if let Ok(guard) = TcpListener::bind(guard) {
                return Self {
                    second,
                    third,
                    assigned: AtomicU16::new(0),
                    _guard: guard,
                };
            }
        }
        panic!("no free loopback network");
    }

    /// The address of host `number` in the network.
    pub fn host(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, number)
    }

    /// Returns an address that has not been assigned before.
    pub fn next_address(&self) -> SocketAddr {
        let number = self.assigned.fetch_add(1, Ordering::Relaxed);
        let host = 1 + (number % HOSTS) as u8;
        SocketAddr::from((self.host(host), FIRST_PORT + number / HOSTS))
    }
}
