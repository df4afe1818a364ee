//! Two operators that change the configuration through any of the machines, and record the answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, MACHINES};
use crate::documents::configuration_with;
use crate::http::{exchange, Request};
use crate::register::checker::ObservedHistory;
use crate::register::{Content, Request as Operation, Response};

const OPERATORS: u64 = 2;
/// Pause between two requests of an operator.
const THINK_TIME: Duration = Duration::from_millis(30);
/// Additional routes of a large configuration, some 300 bytes each; the number of further routes
/// identifies the content.
const LARGE_ROUTES: usize = 500;
/// Time within which a read or a change must be answered.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which the awaited number of changes must be acknowledged.
const CHANGES_TIMEOUT: Duration = Duration::from_secs(40);
/// Minimum number of acknowledged changes for a meaningful test.
const MIN_ACKNOWLEDGED: u64 = 3;
/// Content of the last change; the operators do not use it.
const LAST_CONTENT: usize = 9;
/// Value of `Shared::request_at` if no request has been sent.
const NO_MACHINE: usize = usize::MAX;

struct Shared {
    history: Mutex<ObservedHistory>,
    machines: Vec<SocketAddr>,
    /// The latest version that was acknowledged or read.
    newest: AtomicU64,
    acknowledged: AtomicU64,
    /// The machine to which the latest change was sent.
    request_at: AtomicUsize,
    is_stopped: AtomicBool,
    base_routes: usize,
}

/// The running operators, each on its own thread.
pub struct Operators {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Shared {
    fn history(&self) -> MutexGuard<'_, ObservedHistory> {
        self.history
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Sends a request to a machine, and records it with its answer unless the outcome is unknown.
    fn request(&self, machine: usize, operation: &Operation) -> Option<Response> {
        let number = self.history().record_call(operation.clone());
        let answer = self.send(machine, operation)?;
        self.history().record_response(number, answer.clone());
        match (&answer, operation) {
            (Response::Accepted, Operation::Put { content, .. }) => {
                self.acknowledged.fetch_add(1, Ordering::SeqCst);
                self.newest.fetch_max(content.0, Ordering::SeqCst);
            }
            (Response::Read(content), _) => {
                self.newest.fetch_max(content.0, Ordering::SeqCst);
            }
            _ => {}
        }
        Some(answer)
    }

    fn send(&self, machine: usize, operation: &Operation) -> Option<Response> {
        let address = self.machines[machine];
        match operation {
            Operation::Read => {
                let request = Request {
                    method: "GET",
                    path: "/-/config",
                    expected: None,
                    body: "",
                };
                let answer = exchange(address, &request, || {}).ok()?;
                match answer.status {
                    200 => Some(Response::Read(self.content_of(&answer.body))),
                    404 => Some(Response::Read((0, 0))),
                    503 => None,
                    status => panic!("a read: {status} {}", answer.body),
                }
            }
            Operation::Put { expected, content } => {
                let body = configuration_with(content.0, self.base_routes + content.1);
                let request = Request {
                    method: "PUT",
                    path: "/-/config",
                    expected: Some(*expected),
                    body: &body,
                };
                let sent = || self.request_at.store(machine, Ordering::SeqCst);
                let answer = exchange(address, &request, sent).ok()?;
                match answer.status {
                    200 => Some(Response::Accepted),
                    412 => Some(Response::Rejected),
                    503 => None,
                    status => panic!("a change: {status} {}", answer.body),
                }
            }
        }
    }

    fn content_of(&self, body: &str) -> Content {
        let document: serde_json::Value = serde_json::from_str(body).expect("JSON");
        let routes = document["routes"].as_array().map_or(0, Vec::len);
        let version = document["version"].as_u64().expect("a version");
        (version, routes - self.base_routes)
    }

    fn run_operator(&self, operator: u64) {
        let mut turn = operator;
        let mut unresolved: Option<Operation> = None;
        while !self.is_stopped.load(Ordering::SeqCst) {
            turn += 1;
            let machine = (turn * 7 + operator) as usize % MACHINES;
            let operation = match (unresolved.take(), turn % 5) {
                (Some(operation), _) => operation,
                (None, 0) => Operation::Read,
                (None, _) => self.next_change(operator),
            };
            let answer = self.request(machine, &operation);
            // On even turns, sends a change with an unknown outcome again, to another machine.
            if answer.is_none() && operation != Operation::Read && turn.is_multiple_of(2) {
                unresolved = Some(operation);
            }
            sleep(THINK_TIME);
        }
    }

    fn next_change(&self, operator: u64) -> Operation {
        let expected = self.newest.load(Ordering::SeqCst);
        let content = (expected + 1, 1 + operator as usize);
        Operation::Put { expected, content }
    }
}

impl Operators {
    /// Starts the operators. With `large`, configurations have [`LARGE_ROUTES`] additional routes.
    pub fn start(cluster: &Cluster, large: bool) -> Self {
        let shared = Arc::new(Shared {
            history: Mutex::default(),
            machines: (0..MACHINES).map(|index| cluster.admin(index)).collect(),
            newest: AtomicU64::new(0),
            acknowledged: AtomicU64::new(0),
            request_at: AtomicUsize::new(NO_MACHINE),
            is_stopped: AtomicBool::new(false),
            base_routes: if large { LARGE_ROUTES } else { 0 },
        });
        let threads = (0..OPERATORS).map(|operator| {
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || shared.run_operator(operator))
        });
        Self {
            threads: threads.collect(),
            shared,
        }
    }

    /// Number of changes acknowledged so far.
    pub fn acknowledged(&self) -> u64 {
        self.shared.acknowledged.load(Ordering::SeqCst)
    }

    /// Waits until at least `changes` changes are acknowledged.
    pub fn wait_for_acknowledged(&self, changes: u64) {
        let began = Instant::now();
        while self.acknowledged() < changes {
            assert!(
                began.elapsed() < CHANGES_TIMEOUT,
                "too few changes acknowledged"
            );
            sleep(THINK_TIME);
        }
    }

    /// Waits until a change is sent to `machine`.
    pub fn wait_for_request_at(&self, machine: usize) {
        self.shared.request_at.store(NO_MACHINE, Ordering::SeqCst);
        let began = Instant::now();
        while self.shared.request_at.load(Ordering::SeqCst) != machine {
            assert!(
                began.elapsed() < READ_TIMEOUT,
                "no change was sent to machine {machine}"
            );
            std::hint::spin_loop();
        }
    }

    /// Stops the operators and checks the recorded history.
    pub fn stop_and_check(self, cluster: &Cluster) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("the operator thread did not panic");
        }
        let acknowledged = self.shared.acknowledged.load(Ordering::SeqCst);
        assert!(acknowledged >= MIN_ACKNOWLEDGED, "{acknowledged} changes");
        let last = make_last_change(&self.shared);
        for machine in 0..MACHINES {
            let content = read(&self.shared, machine);
            assert_eq!(content, last, "machine {machine}");
        }
        println!("{acknowledged} changes acknowledged, {last:?} in force");
        assert!(
            self.shared.history().is_linearizable(),
            "the history is not linearizable"
        );
        cluster.wait_for_chain(MACHINES);
    }
}

/// Makes a change that is acknowledged, and returns its content. An earlier change without an answer
/// that is still in flight cannot take effect after it.
fn make_last_change(shared: &Shared) -> Content {
    let began = Instant::now();
    while began.elapsed() < READ_TIMEOUT {
        let (expected, _) = read(shared, 0);
        let content = (expected + 1, LAST_CONTENT);
        let change = Operation::Put { expected, content };
        for machine in 0..MACHINES {
            if shared.request(machine, &change) == Some(Response::Accepted) {
                return content;
            }
        }
    }
    panic!("no change was acknowledged");
}

/// Reads the configuration from a machine, with retries until it answers.
fn read(shared: &Shared, machine: usize) -> Content {
    let began = Instant::now();
    while began.elapsed() < READ_TIMEOUT {
        if let Some(Response::Read(content)) = shared.request(machine, &Operation::Read) {
            return content;
        }
        sleep(THINK_TIME);
    }
    panic!("no answer to a read from machine {machine}");
}
