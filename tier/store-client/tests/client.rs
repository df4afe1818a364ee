//! Tests of the client's choice of stores, hedging and retries, in virtual time.

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
use plankhill_store_client::{EndOutcome, EndTurn, StoreClient, StoreSelector, StoreTransport};
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

fn three_members() -> Vec<StoreMember> {
    vec![member(1, "west"), member(2, "east"), member(3, "north")]
}

/// The time after which a store answers, and its reply; `reply` is None for a store that never answers.
#[derive(Clone)]
struct Answer {
    after_ms: u64,
    reply: Option<StoreReply>,
}

/// Simulated stores that answer after a time, or not at all.
#[derive(Clone, Default)]
struct SimulatedStores {
    answers: Rc<RefCell<BTreeMap<SocketAddr, Answer>>>,
    called: Rc<RefCell<Vec<SocketAddr>>>,
}

impl SimulatedStores {
    fn set(&self, number: u8, after_ms: u64, reply: Option<StoreReply>) {
        self.answers
            .borrow_mut()
            .insert(address(number), Answer { after_ms, reply });
    }

    fn take_called(&self) -> Vec<SocketAddr> {
        self.called.take()
    }
}

impl StoreTransport for SimulatedStores {
    fn call(
        &self,
        address: SocketAddr,
        _: StoreCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<StoreReply, CallError>> + 'static {
        self.called.borrow_mut().push(address);
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

    fn retain_addresses(&self, _: &[SocketAddr]) {}
}

/// Ends a turn. Returns the outcome and the elapsed time in milliseconds.
async fn end(client: &StoreClient<SimulatedStores>, timeout_ms: u64) -> (EndOutcome, u64) {
    let started = Instant::now();
    let turn = EndTurn {
        program: ProgramId::from("program"),
        turn: RequestId::from("turn"),
        tokens: Some(1),
        record: None,
    };
    let outcome = client
        .end_turn(turn, Duration::from_millis(timeout_ms))
        .await;
    (outcome, started.elapsed().as_millis() as u64)
}

fn client(stores: &SimulatedStores) -> StoreClient<SimulatedStores> {
    let client = StoreClient::with_transport(stores.clone(), ZoneName::from("east"));
    client.set_view(&view(1, three_members()));
    client
}

fn run<T>(scenario: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), scenario)
}

#[test]
fn only_the_store_in_the_clients_zone_is_called() {
    run(async {
        let stores = SimulatedStores::default();
        (1..=3).for_each(|number| stores.set(number, 10, Some(StoreReply::Ended)));
        let (outcome, took) = end(&client(&stores), 1_000).await;
        assert_eq!((outcome, took), (EndOutcome::Ended, 10));
        assert_eq!(stores.take_called(), [address(2)]);
    });
}

#[test]
fn a_failed_call_is_retried_at_the_next_store_at_once_and_deprioritizes_the_store() {
    run(async {
        let stores = SimulatedStores::default();
        stores.set(1, 10, Some(StoreReply::Ended));
        stores.set(3, 10, Some(StoreReply::Ended));
        let client = client(&stores);
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 10));
        assert_eq!(stores.take_called(), [address(2), address(1)]);
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 10));
        assert_eq!(stores.take_called(), [address(1)]);
        stores.set(2, 10, Some(StoreReply::Ended));
        tokio::time::advance(Duration::from_millis(1_100)).await;
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 10));
        assert_eq!(stores.take_called(), [address(2)]);
    });
}

#[test]
fn an_unresponsive_store_is_hedged() {
    run(async {
        let stores = SimulatedStores::default();
        stores.set(1, 10, Some(StoreReply::Ended));
        stores.set(2, 0, None);
        let client = client(&stores);
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 210));
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 10));
    });
}

#[test]
fn a_reply_after_the_hedge_delay_is_used() {
    run(async {
        let stores = SimulatedStores::default();
        stores.set(2, 650, Some(StoreReply::Ended));
        assert_eq!(end(&client(&stores), 1_000).await, (EndOutcome::Ended, 650));
    });
}

#[test]
fn unavailable_stores_are_called_again_until_the_timeout() {
    run(async {
        let stores = SimulatedStores::default();
        (1..=3).for_each(|number| stores.set(number, 20, Some(StoreReply::Unavailable)));
        let (outcome, took) = end(&client(&stores), 500).await;
        assert_eq!(outcome, EndOutcome::Unavailable);
        assert!((440..=500).contains(&took), "{took}");
        assert!(stores.take_called().len() >= 9);
    });
}

#[test]
fn a_call_without_stores_ends_within_its_timeout() {
    run(async {
        let client =
            StoreClient::with_transport(SimulatedStores::default(), ZoneName::from("east"));
        assert!(!client.is_ready());
        let (outcome, took) = end(&client, 300).await;
        assert_eq!(outcome, EndOutcome::Unavailable);
        assert!(took <= 300);
    });
}

#[test]
fn older_views_are_ignored() {
    run(async {
        let stores = SimulatedStores::default();
        stores.set(4, 10, Some(StoreReply::Ended));
        let client = client(&stores);
        client.set_view(&view(3, vec![member(4, "east")]));
        client.set_view(&view(2, three_members()));
        assert_eq!(end(&client, 1_000).await, (EndOutcome::Ended, 10));
        assert_eq!(stores.take_called(), [address(4)]);
    });
}

#[test]
fn the_selector_prefers_its_zone_and_clears_a_failure_after_a_success() {
    run(async {
        let mut selector = StoreSelector::default();
        selector.set_view(&view(1, three_members()), &ZoneName::from("north"));
        let order = |selector: &StoreSelector| -> Vec<_> {
            selector
                .ordered(Instant::now())
                .into_iter()
                .map(|member| member.address)
                .collect()
        };
        assert_eq!(order(&selector), [address(3), address(1), address(2)]);
        selector.record_failure(&member(3, "").node, Instant::now());
        assert_eq!(order(&selector), [address(1), address(2), address(3)]);
        selector.record_success(&member(3, "").node);
        assert_eq!(order(&selector), [address(3), address(1), address(2)]);
    });
}
