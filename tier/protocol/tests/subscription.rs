//! The subscription client with feeders that the tests implement.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{any_port, edge, run, tables};
use plankhill_protocol::feed::{FromSubscriber, Subscriber, ToSubscriber};
use plankhill_protocol::ids::{NodeId, Revision};
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions};
use plankhill_protocol::tables::TablesUpdate;
use plankhill_protocol::transport::{accept, listen, Channel, Connection, Hello};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Longer than any wait in a test.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

fn hello() -> Hello {
    Hello::new(Channel::Feed, NodeId::from("edge-1"))
}

fn subscribe(feeders: &[&TcpListener], feeder_timeout: Duration) -> Subscription {
    let addresses: Vec<SocketAddr> = feeders
        .iter()
        .map(|one| one.local_addr().unwrap())
        .collect();
    let (_, candidates) = watch::channel(addresses);
    let subscriber = Subscriber::Edge(edge(1, 1));
    Subscription::start(SubscriptionOptions {
        hello: hello(),
        subscriber,
        candidates,
        feeder_timeout,
    })
}

/// Waits until the subscriber subscribes to one of two feeders; returns the connection and the
/// subscriber's revision.
async fn accept_subscription(one: &TcpListener, other: &TcpListener) -> (Connection, Revision) {
    let ((stream, address), _) = accept_any(one, other).await;
    let mut connection = accept(stream, address, &hello()).await.unwrap();
    match connection.reader.next().await.unwrap() {
        FromSubscriber::Subscribe {
            held_revision: revision,
            ..
        } => (connection, revision),
        other => panic!("unexpected first message: {other:?}"),
    }
}

/// Waits until the subscriber connects to one of two feeders; returns the connection and whether
/// the feeder is the second.
async fn accept_any(one: &TcpListener, other: &TcpListener) -> ((TcpStream, SocketAddr), bool) {
    tokio::select! {
        accepted = one.accept() => (accepted.unwrap(), false),
        accepted = other.accept() => (accepted.unwrap(), true),
    }
}

fn snapshot(revision: u64) -> ToSubscriber {
    ToSubscriber::Update(TablesUpdate::Snapshot(tables(revision)))
}

fn heartbeat(revision: u64, current: bool) -> ToSubscriber {
    ToSubscriber::Heartbeat {
        revision: Revision(revision),
        current,
    }
}

async fn expect(connection: &mut Connection, message: FromSubscriber) {
    assert_eq!(
        connection.reader.next::<FromSubscriber>().await.unwrap(),
        message
    );
}

#[test]
fn tables_and_status_are_published() {
    run(async {
        let (one, other) = (listen(any_port()).unwrap(), listen(any_port()).unwrap());
        let subscription = subscribe(&[&one, &other], LONG_TIMEOUT);
        let (mut feeder, revision) = accept_subscription(&one, &other).await;
        assert_eq!(revision, Revision(0));
        feeder.writer.send(&snapshot(3)).await.unwrap();
        expect(&mut feeder, FromSubscriber::Applied(Revision(3))).await;
        assert_eq!(**subscription.tables().borrow(), tables(3));
        assert!(!subscription.status().borrow().current);
        feeder.writer.send(&heartbeat(3, true)).await.unwrap();
        subscription
            .status()
            .wait_for(|status| status.current)
            .await
            .unwrap();
    });
}

#[test]
fn a_closed_feeder_is_replaced_and_the_revision_never_decreases() {
    run(async {
        let (one, other) = (listen(any_port()).unwrap(), listen(any_port()).unwrap());
        let subscription = subscribe(&[&one, &other], LONG_TIMEOUT);
        let (mut feeder, _) = accept_subscription(&one, &other).await;
        feeder.writer.send(&snapshot(3)).await.unwrap();
        expect(&mut feeder, FromSubscriber::Applied(Revision(3))).await;
        drop(feeder);
        let (mut feeder, revision) = accept_subscription(&one, &other).await;
        assert_eq!(revision, Revision(3));
        feeder.writer.send(&snapshot(2)).await.unwrap();
        expect(&mut feeder, FromSubscriber::Applied(Revision(3))).await;
        assert_eq!(**subscription.tables().borrow(), tables(3));
    });
}

#[test]
fn a_feeder_that_is_not_current_is_replaced() {
    run(async {
        let (one, other) = (listen(any_port()).unwrap(), listen(any_port()).unwrap());
        let _subscription = subscribe(&[&one, &other], LONG_TIMEOUT);
        let ((stream, address), first) = accept_any(&one, &other).await;
        let mut feeder = accept(stream, address, &hello()).await.unwrap();
        feeder.writer.send(&heartbeat(0, false)).await.unwrap();
        let (_, second) = accept_any(&one, &other).await;
        assert_ne!(first, second);
    });
}

#[test]
fn after_a_pass_without_a_current_feeder_one_may_become_current() {
    run(async {
        let (one, other) = (listen(any_port()).unwrap(), listen(any_port()).unwrap());
        let subscription = subscribe(&[&one, &other], LONG_TIMEOUT);
        let (mut first, _) = accept_subscription(&one, &other).await;
        first.writer.send(&heartbeat(0, false)).await.unwrap();
        let (mut second, _) = accept_subscription(&one, &other).await;
        second
            .writer
            .send_all(&[heartbeat(0, false), heartbeat(0, true)])
            .await
            .unwrap();
        expect(&mut second, FromSubscriber::Applied(Revision(0))).await;
        expect(&mut second, FromSubscriber::Applied(Revision(0))).await;
        subscription
            .status()
            .wait_for(|status| status.current)
            .await
            .unwrap();
        // A feeder that was current is replaced as soon as it is no longer current.
        second.writer.send(&heartbeat(0, false)).await.unwrap();
        accept_subscription(&one, &other).await;
    });
}

#[test]
fn a_feeder_that_times_out_is_replaced() {
    run(async {
        let (one, other) = (listen(any_port()).unwrap(), listen(any_port()).unwrap());
        let _subscription = subscribe(&[&one, &other], Duration::from_millis(20));
        let (_silent, _) = accept_subscription(&one, &other).await;
        let (_next, _) = accept_subscription(&one, &other).await;
    });
}

#[test]
fn feeders_named_by_a_feeder_become_candidates() {
    run(async {
        let (one, other) = (listen(any_port()).unwrap(), listen(any_port()).unwrap());
        let _subscription = subscribe(&[&one], LONG_TIMEOUT);
        let (mut feeder, _) = accept_subscription(&one, &other).await;
        let advertised = ToSubscriber::Controllers(vec![other.local_addr().unwrap()]);
        feeder.writer.send(&advertised).await.unwrap();
        feeder.writer.send(&heartbeat(0, true)).await.unwrap();
        expect(&mut feeder, FromSubscriber::Applied(Revision(0))).await;
        drop((feeder, one));
        let (stream, address) = other.accept().await.unwrap();
        accept(stream, address, &hello()).await.unwrap();
    });
}

#[test]
fn messages_reach_the_feeder_and_dropping_the_subscription_closes_the_connection() {
    run(async {
        let (one, other) = (listen(any_port()).unwrap(), listen(any_port()).unwrap());
        let subscription = subscribe(&[&one, &other], LONG_TIMEOUT);
        let (mut feeder, _) = accept_subscription(&one, &other).await;
        assert!(
            subscription
                .send_and_flush(FromSubscriber::Deregister, LONG_TIMEOUT)
                .await
        );
        expect(&mut feeder, FromSubscriber::Deregister).await;
        drop(subscription);
        assert!(feeder.reader.next::<FromSubscriber>().await.is_err());
    });
}

/// One candidate accepts connections without sending a greeting, like a listener whose accept queue
/// is full.
#[test]
fn an_unresponsive_candidate_does_not_delay_the_others() {
    run(async {
        let (unresponsive, other) = (listen(any_port()).unwrap(), listen(any_port()).unwrap());
        let _subscription = subscribe(&[&unresponsive, &other], LONG_TIMEOUT);
        let (stream, address) = other.accept().await.unwrap();
        let mut connection = accept(stream, address, &hello()).await.unwrap();
        let first: FromSubscriber = connection.reader.next().await.unwrap();
        assert!(matches!(first, FromSubscriber::Subscribe { .. }));
    });
}
