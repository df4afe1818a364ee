//! Checks histories of several operators on three controllers for linearizability, against a
//! register with compare-and-swap. The histories contain concurrent puts on one version, different
//! contents with the same version, puts repeated at other controllers, and reads, while controllers
//! are killed and lose their disks.

mod cluster;
mod common;
mod register;

use cluster::{Call, Cluster};
use common::configuration_with;
use hyper::StatusCode;
use register::checker::ObservedHistory;
use register::{Content, History, Register, Request, Response};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

/// A pseudorandom number generator (xorshift), deterministic for each seed.
struct Rng(u64);

impl Rng {
    /// Returns a number below `bound`.
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }
}

/// Number of controller restarts in one history. It is small because the check takes exponential
/// time in the number of requests without a definite response.
const RESTARTS_PER_HISTORY: usize = 2;

/// An event of a history, with the index of its request.
enum Event {
    Invoked(usize),
    Returned(usize, Response),
}

/// Several operators that share the responses received so far. A request is not always based on the
/// newest of them.
struct Operators {
    rng: Rng,
    /// Each request belongs to a separate operator, because an operator without a definite response
    /// continues as a new one.
    requests: Vec<Request>,
    events: Vec<Event>,
    /// The newest content that was acknowledged or read.
    newest: Content,
    sent: Vec<(u64, Content)>,
    definite_responses: usize,
}

impl Operators {
    fn new(seed: u64) -> Self {
        Operators {
            rng: Rng(seed | 1),
            requests: Vec::new(),
            events: Vec::new(),
            newest: (0, 0),
            sent: Vec::new(),
            definite_responses: 0,
        }
    }

    fn next_request(&mut self) -> Request {
        let before = self.rng.below(self.sent.len().max(1));
        match self.rng.below(8) {
            0 | 1 => Request::Read,
            // An earlier put, repeated after a lost response or long after a received one.
            2 | 3 if !self.sent.is_empty() => {
                let (expected, content) = self.sent[before];
                Request::Put { expected, content }
            }
            // A new put on an earlier version, which may no longer be current.
            4 if !self.sent.is_empty() => {
                let (expected, _) = self.sent[before];
                self.new_put(expected)
            }
            _ => self.new_put(self.newest.0),
        }
    }

    /// Creates a put on the version `expected`; several puts may have the same version.
    fn new_put(&mut self, expected: u64) -> Request {
        let version = expected + 1 + self.rng.below(2) as u64;
        let content = (version, 1 + self.rng.below(3));
        self.sent.push((expected, content));
        Request::Put { expected, content }
    }

    /// Sends three concurrent requests, each to a random one of `machines`.
    fn send_requests(&mut self, cluster: &Cluster, machines: &[usize]) {
        let requests: Vec<Request> = (0..3).map(|_| self.next_request()).collect();
        let first = self.requests.len();
        self.requests.extend(requests.iter().cloned());
        self.events
            .extend((first..self.requests.len()).map(Event::Invoked));
        let calls: Vec<Call> = requests
            .iter()
            .map(|request| {
                let machine = machines[self.rng.below(machines.len())];
                call(machine, request)
            })
            .collect();
        cluster.call_concurrently(&calls, |number, response| {
            let Some(answer) = response
                .and_then(|(status, body)| definite_outcome(&requests[number], status, &body))
            else {
                return;
            };
            self.definite_responses += 1;
            match (&answer, &requests[number]) {
                (Response::Read(content), _) => self.newest = self.newest.max(*content),
                (Response::Accepted, Request::Put { content, .. }) => {
                    self.newest = self.newest.max(*content)
                }
                _ => {}
            }
            self.events.push(Event::Returned(first + number, answer));
        });
    }

    /// Returns the history for the tester of `stateright`. A read without a response is omitted; a
    /// put without a response may take effect at any later time, or never.
    fn history(&self) -> History {
        let has_response = |request_index: usize| {
            self.events
                .iter()
                .any(|event| matches!(event, Event::Returned(index, _) if *index == request_index))
        };
        let mut history = LinearizabilityTester::new(Register::default());
        for event in &self.events {
            match event {
                Event::Invoked(index)
                    if self.requests[*index] == Request::Read && !has_response(*index) => {}
                Event::Invoked(index) => {
                    history
                        .on_invoke(*index, self.requests[*index].clone())
                        .expect("a new operator");
                }
                Event::Returned(index, answer) => {
                    history
                        .on_return(*index, answer.clone())
                        .expect("an open request");
                }
            }
        }
        history
    }
}

impl Operators {
    /// Returns the history for the checker, which supports histories of any length.
    fn observed(&self) -> ObservedHistory {
        let mut observed = ObservedHistory::default();
        for event in &self.events {
            match event {
                Event::Invoked(index) => {
                    assert_eq!(observed.record_call(self.requests[*index].clone()), *index);
                }
                Event::Returned(index, answer) => observed.record_response(*index, answer.clone()),
            }
        }
        observed
    }
}

fn call(machine: usize, request: &Request) -> Call {
    match request {
        Request::Read => Call {
            machine,
            method: "GET",
            expected: None,
            body: String::new(),
        },
        Request::Put {
            expected,
            content: (version, routes),
        } => {
            let body = configuration_with(*version, *routes);
            Call {
                machine,
                method: "PUT",
                expected: Some(*expected),
                body,
            }
        }
    }
}

/// Returns the definite outcome of a request; `None` if the response leaves the outcome open.
fn definite_outcome(request: &Request, status: StatusCode, body: &str) -> Option<Response> {
    match (request, status) {
        (Request::Put { .. }, StatusCode::OK) => Some(Response::Accepted),
        (Request::Put { .. }, StatusCode::PRECONDITION_FAILED | StatusCode::BAD_REQUEST) => {
            Some(Response::Rejected)
        }
        (Request::Read, StatusCode::OK) => Some(Response::Read(content_of(body))),
        (Request::Read, StatusCode::NOT_FOUND) => Some(Response::Read((0, 0))),
        (_, StatusCode::SERVICE_UNAVAILABLE) => None,
        (request, status) => panic!("{request:?}: {status}"),
    }
}

fn content_of(body: &str) -> Content {
    let document: serde_json::Value = serde_json::from_str(body).expect("JSON");
    let routes = document["routes"].as_array().map_or(0, Vec::len);
    (document["version"].as_u64().expect("a version"), routes)
}

fn others(machine: usize) -> Vec<usize> {
    (0..3).filter(|other| *other != machine).collect()
}

/// Runs and checks one history, in which random controllers are killed and restarted, some of them
/// with an empty disk.
fn run_history(seed: u64) {
    let mut cluster = Cluster::bootstrap();
    let mut operators = Operators::new(seed);
    for restart in 0..RESTARTS_PER_HISTORY {
        operators.send_requests(&cluster, &[0, 1, 2]);
        let killed = operators.rng.below(3);
        cluster.kill(killed);
        let remaining = others(killed);
        operators.send_requests(&cluster, &remaining);
        // The cluster tolerates one loss, so the next one must wait until the chain is complete
        // again.
        cluster.wait_for_chain_length(remaining[0], 2);
        operators.send_requests(&cluster, &remaining);
        if restart % 2 == 0 {
            cluster.replace_disk(killed);
        }
        cluster.start(killed, false);
        operators.send_requests(&cluster, &[0, 1, 2]);
        cluster.wait_for_chain_length(remaining[0], 3);
    }
    operators.send_requests(&cluster, &[0, 1, 2]);
    let (requests, definite_responses, history) = (
        operators.requests.len(),
        operators.definite_responses,
        operators.history(),
    );
    println!("seed {seed}: {requests} requests, {definite_responses} definite responses");
    assert!(
        definite_responses > requests / 3,
        "{definite_responses} of {requests}"
    );
    assert!(history.is_consistent(), "seed {seed}: {history:?}");
    assert!(operators.observed().is_linearizable(), "seed {seed}");
}

#[test]
fn histories_of_several_operators_are_linearizable() {
    (1..=4).for_each(|seed| run_history(seed * 7_919));
}

fn history(steps: &[(usize, Request, Option<Response>)]) -> History {
    let mut history = LinearizabilityTester::new(Register::default());
    for (index, request, answer) in steps {
        history
            .on_invoke(*index, request.clone())
            .expect("a new operator");
        if let Some(answer) = answer {
            history
                .on_return(*index, answer.clone())
                .expect("an open request");
        }
    }
    history
}

fn put(expected: u64, version: u64, routes: usize) -> Request {
    Request::Put {
        expected,
        content: (version, routes),
    }
}

/// Guards against a checker that accepts histories that are not linearizable.
#[test]
fn known_violations_are_detected() {
    use Response::{Accepted, Read, Rejected};
    let accepted = |index, request| (index, request, Some(Accepted));
    let both_accepted = [
        accepted(0, put(0, 5, 1)),
        accepted(1, put(5, 7, 1)),
        accepted(2, put(5, 7, 2)),
    ];
    let repeat_rejected = [accepted(0, put(0, 5, 1)), (1, put(0, 5, 1), Some(Rejected))];
    let old_read = [
        accepted(0, put(0, 5, 1)),
        accepted(1, put(5, 7, 1)),
        (2, Request::Read, Some(Read((5, 1)))),
    ];
    let lost = [
        accepted(0, put(0, 5, 1)),
        (1, Request::Read, Some(Read((0, 0)))),
    ];
    for violation in [&both_accepted[..], &repeat_rejected, &old_read, &lost] {
        assert!(!history(violation).is_consistent(), "{violation:?}");
        assert!(!observed(violation).is_linearizable(), "{violation:?}");
    }
    // A put without a definite response may or may not have taken effect.
    let without_response = |found| {
        [
            accepted(0, put(0, 5, 1)),
            (1, put(5, 7, 1), None),
            (2, Request::Read, Some(Read(found))),
        ]
    };
    for found in [(7, 1), (5, 1)] {
        assert!(history(&without_response(found)).is_consistent());
        assert!(observed(&without_response(found)).is_linearizable());
    }
}

/// Converts sequential requests to a history for the checker.
fn observed(steps: &[(usize, Request, Option<Response>)]) -> ObservedHistory {
    let mut observed = ObservedHistory::default();
    for (_, request, answer) in steps {
        let number = observed.record_call(request.clone());
        if let Some(answer) = answer {
            observed.record_response(number, answer.clone());
        }
    }
    observed
}

/// Number of operations in a long history.
const LONG_HISTORY: usize = 10_000;
/// Maximum number of concurrently open requests in a long history.
const MAX_OPEN_REQUESTS: usize = 5;

/// Generates a history of a correct register with concurrent requests. About two in ten requests
/// have no definite response; half of these have been applied to the register.
fn long_history(seed: u64) -> ObservedHistory {
    let mut rng = Rng(seed | 1);
    let mut register = Register::default();
    let mut observed = ObservedHistory::default();
    let mut open: Vec<(usize, Option<Response>)> = Vec::new();
    for _ in 0..LONG_HISTORY {
        let current = register.current.0;
        let request = match rng.below(3) {
            0 => Request::Read,
            1 => put(current, current + 1 + rng.below(2) as u64, 1 + rng.below(3)),
            _ => put(current.saturating_sub(1), current + 1, 1 + rng.below(3)),
        };
        let number = observed.record_call(request.clone());
        let is_request_lost = rng.below(10) == 0;
        let answer = (!is_request_lost).then(|| register.invoke(&request));
        let is_response_lost = rng.below(10) == 0;
        open.push((number, answer.filter(|_| !is_response_lost)));
        while open.len() >= MAX_OPEN_REQUESTS || (!open.is_empty() && rng.below(3) == 0) {
            let (number, answer) = open.swap_remove(rng.below(open.len()));
            if let Some(answer) = answer {
                observed.record_response(number, answer);
            }
        }
    }
    observed
}

#[test]
fn ten_thousand_operations_are_checked_in_seconds() {
    let started_at = std::time::Instant::now();
    for seed in 1..=5 {
        assert!(
            long_history(seed * 104_729).is_linearizable(),
            "seed {seed}"
        );
    }
    println!(
        "five histories of {LONG_HISTORY}: {:?}",
        started_at.elapsed()
    );
}

/// Guards against a checker that misses a violation in a long history. The last read returns a
/// content that was never in force.
#[test]
fn a_violation_in_a_long_history_is_detected() {
    let mut observed = long_history(7);
    let number = observed.record_call(Request::Read);
    observed.record_response(number, Response::Read((1, 9)));
    assert!(!observed.is_linearizable());
}
