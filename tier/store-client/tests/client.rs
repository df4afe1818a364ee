//! Which store a proxy asks, and when it asks another one. In virtual time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use plankhill_protocol::ids::{Incarnation, NodeId, ProgramId, RequestId, StoreEpoch, ZoneName};
use plankhill_protocol::store_calls::{StoreCall, StoreReply};
use plankhill_protocol::tables::{StoreMember, StoreView};
use plankhill_protocol::transport::CallError;
use plankhill_store_client::{EndOutcome, EndTurn, StoreCalls, StoreChoice, StoreClient};
use tokio::task::LocalSet;
use tokio::time::Instant;

fn member(number: u8, zone: &str) -> StoreMember {
    StoreMember {
        node: NodeId::from(format!("store-{number}").as_str()),
        incarnation: Incarnation(1),
        address: address(number),
        zone: ZoneName::from(zone),
    }
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn view(epoch: u64, serving: Vec<StoreMember>) -> StoreView {
    StoreView {
        epoch: StoreEpoch(epoch),
        serving,
        next: None,
        tolerated_faults: 1,
    }
}

fn three() -> Vec<StoreMember> {
    vec![member(1, "west"), member(2, "east"), member(3, "north")]
}

/// When a store answers, and what; nothing if it is silent.
#[derive(Clone)]
struct Answer {
    after_ms: u64,
    reply: Option<StoreReply>,
}

/// Stores that answer after a time, or not at all.
#[derive(Clone, Default)]
struct Stores {
    answers: Rc<RefCell<BTreeMap<SocketAddr, Answer>>>,
    asked: Rc<RefCell<Vec<SocketAddr>>>,
}

impl Stores {
    fn set(&self, number: u8, after_ms: u64, reply: Option<StoreReply>) {
        self.answers
            .borrow_mut()
            .insert(address(number), Answer { after_ms, reply });
    }

    fn take_asked(&self) -> Vec<SocketAddr> {
        self.asked.take()
    }
}

impl StoreCalls for Stores {
    fn call(
        &self,
        address: SocketAddr,
        _: StoreCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<StoreReply, CallError>> + 'static {
        self.asked.borrow_mut().push(address);
        let answer = self.answers.borrow().get(&address).cloned();
        async move {
            let Some(Answer { after_ms, reply }) = answer else {
                return Err(CallError::NotSent);
            };
            let answering = async {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                match reply {
                    Some(reply) => reply,
                    None => std::future::pending().await,
                }
            };
            tokio::time::timeout(timeout, answering)
                .await
                .map_err(|_| CallError::NoAnswer)
        }
    }

    fn keep_only(&self, _: &[SocketAddr]) {}
}

/// How an end of a turn went, and how long it took.
async fn end(client: &StoreClient<Stores>, budget_ms: u64) -> (EndOutcome, u64) {
    let started = Instant::now();
    let turn = EndTurn {
        program: ProgramId::from("program"),
        turn: RequestId::from("turn"),
        tokens: Some(1),
        record: None,
    };
    let outcome = client
        .end_turn(turn, Duration::from_millis(budget_ms))
        .await;
    (outcome, started.elapsed().as_millis() as u64)
}

fn client(stores: &Stores) -> StoreClient<Stores> {
    let client = StoreClient::with_calls(stores.clone(), ZoneName::from("east"));
    client.set_view(&view(1, three()));
    client
}

fn run<T>(story: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), story)
}

#[test]
fn the_store_of_the_own_zone_is_asked_alone() {
    run(async {
        let stores = Stores::default();
        (1..=3).for_each(|number| stores.set(number, 10, Some(StoreReply::Ended)));
        let (outcome, took) = end(&client(&stores), 1_000).await;
        assert_eq!((outcome, took), (EndOutcome::Ended, 10));
        assert_eq!(stores.take_asked(), [address(2)]);
    });
}

#[test]
fn a_store_that_fails_is_followed_by_the_next_at_once_and_avoided_for_a_while() {
    run(async {
        let stores = Stores::default();
        stores.set(1, 10, Some(StoreReply::Ended));
        stores.set(3, 10, Some(StoreReply::Ended));
        let client = client(&stores);
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 10));
        assert_eq!(stores.take_asked(), [address(2), address(1)]);
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 10));
        assert_eq!(stores.take_asked(), [address(1)]);
        stores.set(2, 10, Some(StoreReply::Ended));
        tokio::time::advance(Duration::from_millis(1_100)).await;
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 10));
        assert_eq!(stores.take_asked(), [address(2)]);
    });
}

#[test]
fn a_silent_store_is_hedged() {
    run(async {
        let stores = Stores::default();
        stores.set(1, 10, Some(StoreReply::Ended));
        stores.set(2, 0, None);
        let client = client(&stores);
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 210));
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 10));
    });
}

#[test]
fn a_slow_answer_still_counts() {
    run(async {
        let stores = Stores::default();
        stores.set(2, 650, Some(StoreReply::Ended));
        assert_eq!(end(&client(&stores), 1_000).await, (EndOutcome::Ended, 650));
    });
}

#[test]
fn stores_that_are_unsure_are_asked_again_until_the_time_is_up() {
    run(async {
        let stores = Stores::default();
        (1..=3).for_each(|number| stores.set(number, 20, Some(StoreReply::Unavailable)));
        let (outcome, took) = end(&client(&stores), 500).await;
        assert_eq!(outcome, EndOutcome::Unavailable);
        assert!((440..=500).contains(&took), "{took}");
        assert!(stores.take_asked().len() >= 9);
    });
}

#[test]
fn without_stores_it_ends_in_time() {
    run(async {
        let client = StoreClient::with_calls(Stores::default(), ZoneName::from("east"));
        assert!(!client.is_ready());
        let (outcome, took) = end(&client, 300).await;
        assert_eq!(outcome, EndOutcome::Unavailable);
        assert!(took <= 300);
    });
}

#[test]
fn older_views_are_ignored() {
    run(async {
        let stores = Stores::default();
        stores.set(4, 10, Some(StoreReply::Ended));
        let client = client(&stores);
        client.set_view(&view(3, vec![member(4, "east")]));
        client.set_view(&view(2, three()));
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 10));
        assert_eq!(stores.take_asked(), [address(4)]);
    });
}

#[test]
fn the_choice_prefers_the_zone_and_forgets_failures() {
    run(async {
        let mut choice = StoreChoice::default();
        choice.set_view(&view(1, three()), &ZoneName::from("north"));
        let order = |choice: &StoreChoice| -> Vec<_> {
            choice
                .order(Instant::now())
                .into_iter()
                .map(|member| member.address)
                .collect()
        };
        assert_eq!(order(&choice), [address(3), address(1), address(2)]);
        choice.failed(&member(3, "").node, Instant::now());
        assert_eq!(order(&choice), [address(1), address(2), address(3)]);
        choice.answered(&member(3, "").node);
        assert_eq!(order(&choice), [address(3), address(1), address(2)]);
    });
}
