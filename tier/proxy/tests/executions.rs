//! Random interleavings with targets that count their executions: a request that may be executed
//! only once is not executed twice, a request rejected as not executed has not been executed, and
//! no response contains bytes of another request.

mod support;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use support::fixture::{get, target_response, ProxyFixture};
use support::on_one_thread;
use support::peer::{Message, Peer, ScriptedTarget};
use tokio::task::{spawn_local, JoinSet};

/// Seeds, one for each run.
const SEEDS: std::ops::Range<u64> = 0..40;
/// Number of concurrent clients in a run.
const CLIENTS: usize = 6;
/// Number of requests that each client sends, one after the other.
const REQUESTS_PER_CLIENT: usize = 8;
/// Statuses that promise that a request was not executed and never will be.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// The behaviour of a target on a request that it has read.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Serve,
    ServeAndClose,
    ServeWithSurplus,
    RejectAsFull,
    RejectAsMisdirected,
    InternalError,
    ExecuteAndReset,
    ExecuteAndTruncate,
    RespondToAnotherRequest,
}

const BEHAVIOURS: [Behaviour; 9] = [
    Behaviour::Serve,
    Behaviour::ServeAndClose,
    Behaviour::ServeWithSurplus,
    Behaviour::RejectAsFull,
    Behaviour::RejectAsMisdirected,
    Behaviour::InternalError,
    Behaviour::ExecuteAndReset,
    Behaviour::ExecuteAndTruncate,
    Behaviour::RespondToAnotherRequest,
];

/// Random numbers that follow from a seed (splitmix64).
#[derive(Clone)]
struct Rng(Rc<RefCell<u64>>);

impl Rng {
    fn new(seed: u64) -> Self {
        Rng(Rc::new(RefCell::new(seed)))
    }

    fn below(&self, bound: usize) -> usize {
        let mut state = self.0.borrow_mut();
        *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = *state;
        value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((value ^ (value >> 31)) % bound as u64) as usize
    }
}

/// How often each request was executed, by request id.
type ExecutionCounts = Rc<RefCell<HashMap<String, usize>>>;

/// Serves one connection until it ends; several requests may arrive on it.
async fn serve_connection(mut peer: Peer, executions: ExecutionCounts, rng: Rng) {
    while let Some(request) = peer.receive().await {
        let id = request.header("request-id").expect("an id").to_owned();
        let behaviour = BEHAVIOURS[rng.below(BEHAVIOURS.len())];
        let executes = !matches!(
            behaviour,
            Behaviour::RejectAsFull | Behaviour::RejectAsMisdirected
        );
        if executes {
            *executions.borrow_mut().entry(id.clone()).or_default() += 1;
        }
        let success = target_response("200 OK", &id, "", &body_of(&id));
        match behaviour {
            Behaviour::Serve => peer.send(&success).await,
            Behaviour::ServeAndClose => return peer.send(&success).await,
            Behaviour::ServeWithSurplus => peer.send(&format!("{success}surplus")).await,
            Behaviour::RejectAsFull => {
                peer.send(&target_response(
                    "503 Service Unavailable",
                    &id,
                    "Not-Executed: full\r\n",
                    "",
                ))
                .await;
            }
            Behaviour::RejectAsMisdirected => {
                peer.send(&target_response("421 Misdirected Request", &id, "", ""))
                    .await
            }
            Behaviour::InternalError => {
                peer.send(&target_response(
                    "500 Internal Server Error",
                    &id,
                    "",
                    "bad",
                ))
                .await
            }
            Behaviour::ExecuteAndReset => return peer.reset(),
            Behaviour::ExecuteAndTruncate => return peer.send(&success[..success.len() - 1]).await,
            Behaviour::RespondToAnotherRequest => {
                return peer
                    .send(&target_response(
                        "200 OK",
                        "of-another",
                        "",
                        "bytes of another",
                    ))
                    .await;
            }
        }
    }
}

fn body_of(id: &str) -> String {
    format!("body of {id}")
}

async fn serve(target: ScriptedTarget, executions: ExecutionCounts, rng: Rng) {
    loop {
        let peer = target.accept().await;
        spawn_local(serve_connection(peer, executions.clone(), rng.clone()));
    }
}

/// A client's request and its response.
struct RequestResult {
    id: String,
    is_idempotent: bool,
    response: Option<Message>,
}

/// Sends requests one after the other, over a separate connection that is reopened at random.
async fn client(fixture: Rc<ProxyFixture>, number: usize, rng: Rng) -> Vec<RequestResult> {
    let mut connection: Option<Peer> = None;
    let mut all = Vec::new();
    for request in 0..REQUESTS_PER_CLIENT {
        let id = format!("c{number}-{request}");
        let is_idempotent = rng.below(2) == 0;
        let mut peer = match connection.take().filter(|_| rng.below(3) > 0) {
            Some(peer) => peer,
            None => fixture.client().await,
        };
        peer.send(&get(if is_idempotent { "again" } else { "once" }, &id))
            .await;
        let response = peer.receive().await;
        let keeps_alive = response
            .as_ref()
            .is_some_and(|response| response.header("connection") != Some("close"));
        connection = keeps_alive.then_some(peer);
        all.push(RequestResult {
            id,
            is_idempotent,
            response,
        });
    }
    all
}

async fn run_seed(seed: u64) {
    let rng = Rng::new(seed);
    let executions = ExecutionCounts::default();
    let (one, other) = (ScriptedTarget::start().await, ScriptedTarget::start().await);
    let fixture = Rc::new(ProxyFixture::with_targets(&[&one, &other]).await);
    spawn_local(serve(one, executions.clone(), rng.clone()));
    spawn_local(serve(other, executions.clone(), rng.clone()));
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn_local(client(fixture.clone(), number, rng.clone()));
    }
    let results: Vec<RequestResult> = clients.join_all().await.into_iter().flatten().collect();
    assert_eq!(results.len(), CLIENTS * REQUESTS_PER_CLIENT, "seed {seed}");
    for one in &results {
        check_result(
            seed,
            one,
            executions
                .borrow()
                .get(&one.id)
                .copied()
                .unwrap_or_default(),
        );
    }
    // Each run must contain successful and unsuccessful requests; otherwise its checks prove
    // nothing.
    let status = |result: &RequestResult| result.response.as_ref().map(Message::status);
    assert!(
        results.iter().any(|result| status(result) == Some(200)),
        "seed {seed}"
    );
    assert!(
        results.iter().any(|result| status(result) != Some(200)),
        "seed {seed}"
    );
}

fn check_result(seed: u64, one: &RequestResult, executions: usize) {
    let id = &one.id;
    assert!(
        one.is_idempotent || executions <= 1,
        "seed {seed}: {id} was executed {executions} times"
    );
    let Some(response) = &one.response else {
        return;
    };
    let status = response.status();
    if NOT_EXECUTED_STATUSES.contains(&status) && !one.is_idempotent {
        assert_eq!(
            executions, 0,
            "seed {seed}: {id} got {status} but was executed"
        );
    }
    if (200..300).contains(&status) {
        assert_eq!(response.text(), body_of(id), "seed {seed}");
        assert_eq!(
            response.header("upstream-signature"),
            Some(format!("stamp-{id}").as_str()),
            "seed {seed}"
        );
    }
}

#[test]
fn random_interleavings_execute_nothing_twice_and_reject_only_unexecuted_requests() {
    on_one_thread(async {
        for seed in SEEDS {
            run_seed(seed).await;
        }
    });
}
