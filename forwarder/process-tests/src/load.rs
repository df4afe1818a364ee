//! Clients that go on handing in events while a story does what it does.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::book::{Book, Effect};
use crate::clients::{self, Answer, Handed};
use crate::until;

/// Clients at work; they stop with this.
pub struct Load {
    stop: Arc<AtomicBool>,
    taken: Arc<AtomicUsize>,
    clients: Vec<JoinHandle<()>>,
}

/// Each client hands in so many at most: a story that hangs must not fill the memory.
const MOST: usize = 10_000;

impl Load {
    pub(crate) fn start(book: &Book, all: &[SocketAddr], seed: u64, number: usize) -> Load {
        let (stop, taken) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let client = |client: usize| {
            let (stop, taken, book, all) =
                (stop.clone(), taken.clone(), book.clone(), all.to_vec());
            thread::spawn(move || {
                let mut chance = ChaCha8Rng::seed_from_u64(seed + client as u64);
                // One instance for each client, as its keys' order is kept there.
                let instance = client % all.len();
                for number in 0..MOST {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let effect = [Effect::Retriable, Effect::Fingerprinted, Effect::Binding]
                        [chance.random_range(0..3)];
                    let handed = Handed::new(&format!("c{client}-{number}"), effect);
                    let handed = handed.waits(Duration::from_secs(1));
                    let handed = if chance.random() {
                        handed.key(client as u64)
                    } else {
                        handed
                    };
                    match clients::hand_in(&book, instance, all[instance], &handed) {
                        Answer::Taken => drop(taken.fetch_add(1, Ordering::SeqCst)),
                        _ => thread::sleep(Duration::from_millis(20)),
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            })
        };
        let clients = (0..number).map(client).collect();
        Load {
            stop,
            taken,
            clients,
        }
    }

    /// Returns once so many more were promised.
    pub fn until_taken(&self, more: usize) {
        let before = self.taken.load(Ordering::SeqCst);
        until("events are taken on", || {
            self.taken.load(Ordering::SeqCst) >= before + more
        });
    }

    pub fn stop(self) {
        drop(self);
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}
