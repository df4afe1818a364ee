//! Random interleavings before targets that count what they run: nothing that may run once runs
//! twice, nothing that was refused as not run has run, and no answer holds another request's bytes.

mod support;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use support::on_one_thread;
use support::peer::{Listening, Message, Peer};
use support::world::{answer, get, World};
use tokio::task::{spawn_local, JoinSet};

/// Worlds, each by its own seed.
const SEEDS: std::ops::Range<u64> = 0..40;
/// Clients at once in a world.
const CLIENTS: usize = 6;
/// Requests that each of them sends, one behind the other.
const REQUESTS: usize = 8;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What a target does with a request that it has read.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Serve,
    ServeAndClose,
    ServeWithSurplus,
    RefuseAsFull,
    RefuseAsAnother,
    FailItself,
    RunAndReset,
    RunAndBreakOff,
    AnswerAnother,
}

const BEHAVIOURS: [Behaviour; 9] = [
    Behaviour::Serve,
    Behaviour::ServeAndClose,
    Behaviour::ServeWithSurplus,
    Behaviour::RefuseAsFull,
    Behaviour::RefuseAsAnother,
    Behaviour::FailItself,
    Behaviour::RunAndReset,
    Behaviour::RunAndBreakOff,
    Behaviour::AnswerAnother,
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

/// How often each request was run.
type Runs = Rc<RefCell<HashMap<String, usize>>>;

/// Serves one connection until it ends; several requests may come on it.
async fn serve_connection(mut peer: Peer, runs: Runs, rng: Rng) {
    while let Some(request) = peer.receive().await {
        let id = request.header("request-id").expect("an id").to_owned();
        let behaviour = BEHAVIOURS[rng.below(BEHAVIOURS.len())];
        let runs_it = !matches!(
            behaviour,
            Behaviour::RefuseAsFull | Behaviour::RefuseAsAnother
        );
        if runs_it {
            *runs.borrow_mut().entry(id.clone()).or_default() += 1;
        }
        let good = answer("200 OK", &id, "", &body_of(&id));
        match behaviour {
            Behaviour::Serve => peer.send(&good).await,
            Behaviour::ServeAndClose => return peer.send(&good).await,
            Behaviour::ServeWithSurplus => peer.send(&format!("{good}surplus")).await,
            Behaviour::RefuseAsFull => {
                peer.send(&answer(
                    "503 Service Unavailable",
                    &id,
                    "Not-Executed: full\r\n",
                    "",
                ))
                .await;
            }
            Behaviour::RefuseAsAnother => {
                peer.send(&answer("421 Misdirected Request", &id, "", ""))
                    .await
            }
            Behaviour::FailItself => {
                peer.send(&answer("500 Internal Server Error", &id, "", "bad"))
                    .await
            }
            Behaviour::RunAndReset => return peer.reset(),
            Behaviour::RunAndBreakOff => return peer.send(&good[..good.len() - 1]).await,
            Behaviour::AnswerAnother => {
                return peer
                    .send(&answer("200 OK", "of-another", "", "bytes of another"))
                    .await;
            }
        }
    }
}

fn body_of(id: &str) -> String {
    format!("body of {id}")
}

async fn serve(target: Listening, runs: Runs, rng: Rng) {
    loop {
        let peer = target.accept().await;
        spawn_local(serve_connection(peer, runs.clone(), rng.clone()));
    }
}

/// What a client was answered.
struct Answered {
    id: String,
    may_repeat: bool,
    answer: Option<Message>,
}

/// Sends requests one behind the other, over a connection of its own that is opened anew at random.
async fn client(world: Rc<World>, number: usize, rng: Rng) -> Vec<Answered> {
    let mut connection: Option<Peer> = None;
    let mut all = Vec::new();
    for request in 0..REQUESTS {
        let id = format!("c{number}-{request}");
        let may_repeat = rng.below(2) == 0;
        let mut peer = match connection.take().filter(|_| rng.below(3) > 0) {
            Some(peer) => peer,
            None => world.client().await,
        };
        peer.send(&get(if may_repeat { "again" } else { "once" }, &id))
            .await;
        let answer = peer.receive().await;
        let goes_on = answer
            .as_ref()
            .is_some_and(|answer| answer.header("connection") != Some("close"));
        connection = goes_on.then_some(peer);
        all.push(Answered {
            id,
            may_repeat,
            answer,
        });
    }
    all
}

async fn play(seed: u64) {
    let rng = Rng::new(seed);
    let runs = Runs::default();
    let (one, other) = (Listening::start().await, Listening::start().await);
    let world = Rc::new(World::with_targets(&[&one, &other]).await);
    spawn_local(serve(one, runs.clone(), rng.clone()));
    spawn_local(serve(other, runs.clone(), rng.clone()));
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        clients.spawn_local(client(world.clone(), number, rng.clone()));
    }
    let answered: Vec<Answered> = clients.join_all().await.into_iter().flatten().collect();
    assert_eq!(answered.len(), CLIENTS * REQUESTS, "seed {seed}");
    for one in &answered {
        judge(
            seed,
            one,
            runs.borrow().get(&one.id).copied().unwrap_or_default(),
        );
    }
    // Every kind of end has to come up, or nothing was shown.
    let status = |one: &Answered| one.answer.as_ref().map(Message::status);
    assert!(
        answered.iter().any(|one| status(one) == Some(200)),
        "seed {seed}"
    );
    assert!(
        answered.iter().any(|one| status(one) != Some(200)),
        "seed {seed}"
    );
}

fn judge(seed: u64, one: &Answered, runs: usize) {
    let id = &one.id;
    assert!(
        one.may_repeat || runs <= 1,
        "seed {seed}: {id} ran {runs} times"
    );
    let Some(answer) = &one.answer else { return };
    let status = answer.status();
    if PROMISES.contains(&status) && !one.may_repeat {
        assert_eq!(runs, 0, "seed {seed}: {id} was given {status} and ran");
    }
    if (200..300).contains(&status) {
        assert_eq!(answer.text(), body_of(id), "seed {seed}");
        assert_eq!(
            answer.header("upstream-signature"),
            Some(format!("stamp-{id}").as_str()),
            "seed {seed}"
        );
    }
}

#[test]
fn random_interleavings_execute_nothing_twice_and_keep_rejections_true() {
    on_one_thread(async {
        for seed in SEEDS {
            play(seed).await;
        }
    });
}
