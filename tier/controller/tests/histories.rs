//! Histories of several operators over three controllers, checked for linearizability against a
//! register with compare-and-swap: races on one version, one number with other content, repeats at
//! other controllers, reads, while controllers are killed and lose their disks.

mod cluster;
mod common;
mod register;

use cluster::{Call, Cluster};
use common::configuration_with;
use hyper::StatusCode;
use register::{Answer, Content, History, Order, Register};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester};

/// Random numbers below a bound (xorshift), the same for the same seed.
struct Chance(u64);

impl Chance {
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }
}

/// Controllers that go and come back in one history: the check takes exponential time where answers
/// are unclear.
const ROUNDS: usize = 2;

/// What happened to an order, in the order in which it did.
enum Event {
    Sent(usize),
    Answered(usize, Answer),
}

/// Several operators that know what was answered, and do not always heed it.
struct Operators {
    chance: Chance,
    /// Each as of an operator of its own: one who got no clear answer goes on as another one.
    orders: Vec<Order>,
    events: Vec<Event>,
    /// The newest content that was acknowledged or read.
    newest: Content,
    sent: Vec<(u64, Content)>,
    clear: usize,
}

impl Operators {
    fn new(seed: u64) -> Self {
        let (orders, events, sent) = (Vec::new(), Vec::new(), Vec::new());
        Operators {
            chance: Chance(seed | 1),
            orders,
            events,
            newest: (0, 0),
            sent,
            clear: 0,
        }
    }

    fn next_order(&mut self) -> Order {
        let before = self.chance.below(self.sent.len().max(1));
        match self.chance.below(8) {
            0 | 1 => Order::Read,
            // Sent again as it was, after a lost answer or long after.
            2 | 3 if !self.sent.is_empty() => {
                let (expected, content) = self.sent[before];
                Order::Put { expected, content }
            }
            // On a version that is not current any more.
            4 if !self.sent.is_empty() => {
                let (expected, _) = self.sent[before];
                self.change(expected)
            }
            _ => self.change(self.newest.0),
        }
    }

    /// A change on this version; several may bear the same number.
    fn change(&mut self, expected: u64) -> Order {
        let version = expected + 1 + self.chance.below(2) as u64;
        let content = (version, 1 + self.chance.below(3));
        self.sent.push((expected, content));
        Order::Put { expected, content }
    }

    /// Some orders at the same moment, at any of these controllers.
    fn act(&mut self, cluster: &Cluster, places: &[usize]) {
        let orders: Vec<Order> = (0..3).map(|_| self.next_order()).collect();
        let first = self.orders.len();
        self.orders.extend(orders.iter().cloned());
        self.events
            .extend((first..self.orders.len()).map(Event::Sent));
        let calls: Vec<Call> = orders
            .iter()
            .map(|order| {
                let place = places[self.chance.below(places.len())];
                call(place, order)
            })
            .collect();
        cluster.call_together(&calls, |number, answered| {
            let Some(answer) =
                answered.and_then(|(status, body)| clear_answer(&orders[number], status, &body))
            else {
                return;
            };
            self.clear += 1;
            match (&answer, &orders[number]) {
                (Answer::Found(content), _) => self.newest = self.newest.max(*content),
                (Answer::Taken, Order::Put { content, .. }) => {
                    self.newest = self.newest.max(*content)
                }
                _ => {}
            }
            self.events.push(Event::Answered(first + number, answer));
        });
    }

    /// A read without an answer says nothing; a change without one may be in force at any later
    /// moment, or never.
    fn history(&self) -> History {
        let is_answered = |wanted: usize| {
            self.events
                .iter()
                .any(|event| matches!(event, Event::Answered(name, _) if *name == wanted))
        };
        let mut history = LinearizabilityTester::new(Register::default());
        for event in &self.events {
            match event {
                Event::Sent(name) if self.orders[*name] == Order::Read && !is_answered(*name) => {}
                Event::Sent(name) => {
                    history
                        .on_invoke(*name, self.orders[*name].clone())
                        .expect("a new operator");
                }
                Event::Answered(name, answer) => {
                    history
                        .on_return(*name, answer.clone())
                        .expect("an open order");
                }
            }
        }
        history
    }
}

fn call(place: usize, order: &Order) -> Call {
    match order {
        Order::Read => Call {
            place,
            method: "GET",
            expected: None,
            body: String::new(),
        },
        Order::Put {
            expected,
            content: (version, routes),
        } => {
            let body = configuration_with(*version, *routes);
            Call {
                place,
                method: "PUT",
                expected: Some(*expected),
                body,
            }
        }
    }
}

/// What an answer settles; none for one that settles nothing.
fn clear_answer(order: &Order, status: StatusCode, body: &str) -> Option<Answer> {
    match (order, status) {
        (Order::Put { .. }, StatusCode::OK) => Some(Answer::Taken),
        (Order::Put { .. }, StatusCode::PRECONDITION_FAILED | StatusCode::BAD_REQUEST) => {
            Some(Answer::Refused)
        }
        (Order::Read, StatusCode::OK) => Some(Answer::Found(content_of(body))),
        (Order::Read, StatusCode::NOT_FOUND) => Some(Answer::Found((0, 0))),
        (_, StatusCode::SERVICE_UNAVAILABLE) => None,
        (order, status) => panic!("{order:?}: {status}"),
    }
}

fn content_of(body: &str) -> Content {
    let document: serde_json::Value = serde_json::from_str(body).expect("JSON");
    let routes = document["routes"].as_array().map_or(0, Vec::len);
    (document["version"].as_u64().expect("a version"), routes)
}

fn others(place: usize) -> Vec<usize> {
    (0..3).filter(|other| *other != place).collect()
}

/// Orders while each controller in turn is killed, or loses its disk, and comes back.
fn play(seed: u64) {
    let mut cluster = Cluster::bootstrap();
    let mut operators = Operators::new(seed);
    for round in 0..ROUNDS {
        operators.act(&cluster, &[0, 1, 2]);
        let gone = operators.chance.below(3);
        cluster.kill(gone);
        let left = others(gone);
        operators.act(&cluster, &left);
        // Another loss may only come once this one is repaired.
        cluster.wait_for_links(left[0], 2);
        operators.act(&cluster, &left);
        if round % 2 == 0 {
            cluster.wipe(gone);
        }
        cluster.start(gone, false);
        operators.act(&cluster, &[0, 1, 2]);
        cluster.wait_for_links(left[0], 3);
    }
    operators.act(&cluster, &[0, 1, 2]);
    let (orders, clear, history) = (operators.orders.len(), operators.clear, operators.history());
    println!("seed {seed}: {orders} orders, {clear} clear answers");
    assert!(clear > orders / 3, "{clear} of {orders}");
    assert!(history.is_consistent(), "seed {seed}: {history:?}");
}

#[test]
fn histories_of_several_operators_are_linearizable() {
    (1..=4).for_each(|seed| play(seed * 7_919));
}

fn history(steps: &[(usize, Order, Option<Answer>)]) -> History {
    let mut history = LinearizabilityTester::new(Register::default());
    for (name, order, answer) in steps {
        history
            .on_invoke(*name, order.clone())
            .expect("a new operator");
        if let Some(answer) = answer {
            history
                .on_return(*name, answer.clone())
                .expect("an open order");
        }
    }
    history
}

fn put(expected: u64, version: u64, routes: usize) -> Order {
    Order::Put {
        expected,
        content: (version, routes),
    }
}

/// The check finds what it is there for.
#[test]
fn planted_violations_are_found() {
    use Answer::{Found, Refused, Taken};
    let taken = |name, order| (name, order, Some(Taken));
    let both_confirmed = [
        taken(0, put(0, 5, 1)),
        taken(1, put(5, 7, 1)),
        taken(2, put(5, 7, 2)),
    ];
    let repeat_refused = [taken(0, put(0, 5, 1)), (1, put(0, 5, 1), Some(Refused))];
    let old_read = [
        taken(0, put(0, 5, 1)),
        taken(1, put(5, 7, 1)),
        (2, Order::Read, Some(Found((5, 1)))),
    ];
    let lost = [
        taken(0, put(0, 5, 1)),
        (1, Order::Read, Some(Found((0, 0)))),
    ];
    for planted in [&both_confirmed[..], &repeat_refused, &old_read, &lost] {
        assert!(!history(planted).is_consistent(), "{planted:?}");
    }
    // An order without a clear answer may be in force or not.
    let unclear = |found| {
        [
            taken(0, put(0, 5, 1)),
            (1, put(5, 7, 1), None),
            (2, Order::Read, Some(Found(found))),
        ]
    };
    assert!(history(&unclear((7, 1))).is_consistent());
    assert!(history(&unclear((5, 1))).is_consistent());
}
