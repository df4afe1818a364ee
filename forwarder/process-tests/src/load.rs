//! Clients that submit events in the background during a test.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::clients::{self, Answer, EventRequest};
use crate::trace::{Idempotency, Trace};
use crate::wait_until;

/// Running clients, which stop when this value is dropped.
pub struct Load {
    stop: Arc<AtomicBool>,
    accepted: Arc<AtomicUsize>,
    clients: Vec<JoinHandle<()>>,
}

/// Maximum number of events of a client: a test that hangs must not exhaust the memory.
const MAX_EVENTS_PER_CLIENT: usize = 10_000;

impl Load {
    pub(crate) fn start(trace: &Trace, addresses: &[SocketAddr], seed: u64, number: usize) -> Load {
        let (stop, accepted) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let client = |client: usize| {
            let (stop, accepted, trace, addresses) = (
                stop.clone(),
                accepted.clone(),
                trace.clone(),
                addresses.to_vec(),
            );
            thread::spawn(move || {
                let mut rng = ChaCha8Rng::seed_from_u64(seed + client as u64);
                // Each client uses a single instance, since the order of its keys is kept per instance.
                let instance = client % addresses.len();
                for number in 0..MAX_EVENTS_PER_CLIENT {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let idempotency = [
                        Idempotency::Idempotent,
                        Idempotency::Deduplicated,
                        Idempotency::NonIdempotent,
                    ][rng.random_range(0..3)];
                    let request = EventRequest::new(&format!("c{client}-{number}"), idempotency);
                    let request = request.response_timeout(Duration::from_secs(1));
                    let request = if rng.random() {
                        request.key(client as u64)
                    } else {
                        request
                    };
                    match clients::submit(&trace, instance, addresses[instance], &request) {
                        Answer::Accepted => drop(accepted.fetch_add(1, Ordering::SeqCst)),
                        _ => thread::sleep(Duration::from_millis(20)),
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            })
        };
        let clients = (0..number).map(client).collect();
        Load {
            stop,
            accepted,
            clients,
        }
    }

    /// Waits until `more` further events are accepted.
    pub fn wait_for_accepted(&self, more: usize) {
        let before = self.accepted.load(Ordering::SeqCst);
        wait_until("further events are accepted", || {
            self.accepted.load(Ordering::SeqCst) >= before + more
        });
    }

    /// Stops the clients and waits for them.
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
