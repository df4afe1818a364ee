//! Tests subscriptions over loopback connections.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use common::{block_on, edge, put, register_store, store, MemoryLog};
use plankhill_controller::control_log::ControlLog;
use plankhill_controller::internal_server::serve_internal;
use plankhill_controller::tasks::publish_committed_states;
use plankhill_controller::Controller;
use plankhill_protocol::feed::{FromSubscriber, Subscriber, ToSubscriber};
use plankhill_protocol::ids::{NodeId, Revision};
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions, CONTROLLER_TIMEOUT};
use plankhill_protocol::tables::{Tables, TablesUpdate};
use plankhill_protocol::transport::{dial, listen, Channel, Connection, Hello};
use tokio::sync::watch;
use tokio::task::spawn_local;

fn start() -> (MemoryLog, Rc<Controller<MemoryLog>>, SocketAddr) {
    let log = MemoryLog::new();
    let controller = Controller::new(NodeId::from("core-1"), 1, log.clone());
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(publish_committed_states(controller.clone()));
    spawn_local(serve_internal(controller.clone(), listener));
    (log, controller, address)
}

fn subscribe(subscriber: Subscriber, address: SocketAddr) -> Subscription {
    let (_, candidates) = watch::channel(vec![address]);
    Subscription::start(SubscriptionOptions {
        hello: Hello::new(Channel::Feed, NodeId::from("subscriber")),
        subscriber,
        candidates,
        feeder_timeout: CONTROLLER_TIMEOUT,
    })
}

async fn wait_for_tables(
    subscription: &Subscription,
    holds: impl FnMut(&Arc<Tables>) -> bool,
) -> Arc<Tables> {
    subscription.tables().wait_for(holds).await.unwrap().clone()
}

#[test]
fn an_agent_is_registered_and_receives_changes() {
    block_on(async {
        let (log, _controller, address) = start();
        let subscription = subscribe(Subscriber::Edge(edge("edge-1", 1)), address);
        wait_for_tables(&subscription, |tables| tables.edges.len() == 1).await;
        log.commit(&put(0, 5));
        let tables = wait_for_tables(&subscription, |tables| tables.configuration.is_some()).await;
        assert_eq!(tables.configuration.as_ref().unwrap().version, 5);
        subscription
            .status()
            .wait_for(|status| status.current)
            .await
            .unwrap();
    });
}

#[test]
fn an_agent_that_deregisters_is_removed_at_once() {
    block_on(async {
        let (log, _controller, address) = start();
        let watcher = subscribe(Subscriber::Proxy, address);
        let leaving = subscribe(Subscriber::Edge(edge("edge-1", 1)), address);
        wait_for_tables(&watcher, |tables| tables.edges.len() == 1).await;
        assert!(leaving.send(FromSubscriber::Deregister));
        drop(leaving);
        wait_for_tables(&watcher, |tables| tables.edges.is_empty()).await;
        assert!(log
            .control_state()
            .edges()
            .get(&NodeId::from("edge-1"))
            .is_none());
    });
}

#[test]
fn stores_are_registered_and_their_synced_reports_switch_the_view() {
    block_on(async {
        let (log, _controller, address) = start();
        for number in 1..=3 {
            log.commit(&register_store(&store(&format!("s{number}"), number)));
        }
        let members = [
            store("s1", 1),
            store("s2", 2),
            store("s3", 3),
            store("s4", 4),
        ];
        let stores = members.map(|member| subscribe(Subscriber::Store(member), address));
        let tables = wait_for_tables(&stores[0], |tables| tables.stores.next.is_some()).await;
        for subscription in &stores {
            wait_for_tables(subscription, |seen| {
                seen.stores.epoch == tables.stores.epoch
            })
            .await;
            subscription.send(FromSubscriber::StoreSynced(tables.stores.epoch));
        }
        let switched = wait_for_tables(&stores[3], |tables| tables.stores.serving.len() == 4).await;
        assert_eq!(switched.stores.next, None);
    });
}

/// Opens a connection and subscribes, with the test as the subscriber.
async fn connect(address: SocketAddr, held: Revision) -> Connection {
    let hello = Hello::new(Channel::Feed, NodeId::from("subscriber"));
    let mut connection = dial(address, &hello).await.unwrap();
    let first = FromSubscriber::Subscribe {
        subscriber: Subscriber::Proxy,
        held_revision: held,
    };
    connection.writer.send(&first).await.unwrap();
    connection
}

/// Waits for a heartbeat.
async fn next_heartbeat(connection: &mut Connection) {
    while !matches!(
        connection.reader.next().await.unwrap(),
        ToSubscriber::Heartbeat { .. }
    ) {}
}

/// Returns the next message that is neither a list of controllers nor a heartbeat of a revision up
/// to `announced`.
async fn next_message(connection: &mut Connection, announced: Revision) -> ToSubscriber {
    loop {
        match connection.reader.next().await.unwrap() {
            ToSubscriber::Heartbeat { revision, .. } if revision <= announced => {}
            ToSubscriber::Controllers(_) => {}
            message => return message,
        }
    }
}

#[test]
fn a_subscriber_is_notified_when_its_controller_becomes_current_or_stops_being() {
    block_on(async {
        let (log, _controller, address) = start();
        log.set_reachable(false);
        let mut connection = connect(address, Revision(0)).await;
        for expected in [false, true, false] {
            log.set_reachable(expected);
            loop {
                let message = connection.reader.next().await.unwrap();
                if matches!(message, ToSubscriber::Heartbeat { current, .. } if current == expected)
                {
                    break;
                }
            }
        }
    });
}

#[test]
fn updates_wait_until_the_controller_is_current() {
    block_on(async {
        let (log, _controller, address) = start();
        log.set_reachable(false);
        log.commit(&put(0, 5));
        let mut connection = connect(address, Revision(0)).await;
        // An update would be sent before the heartbeat, so the first message shows that none was
        // sent.
        let first: ToSubscriber = connection.reader.next().await.unwrap();
        assert!(
            matches!(first, ToSubscriber::Heartbeat { current: false, .. }),
            "{first:?}"
        );
        log.set_reachable(true);
        let newest = log.state().borrow().revision;
        let second = next_message(&mut connection, newest).await;
        assert!(matches!(second, ToSubscriber::Update(_)), "{second:?}");
    });
}

#[test]
fn a_requested_snapshot_is_sent_also_to_a_subscriber_at_the_newest_revision() {
    block_on(async {
        let (log, _controller, address) = start();
        log.commit(&put(0, 5));
        let newest = log.state().borrow().revision;
        let mut connection = connect(address, newest).await;
        connection
            .writer
            .send(&FromSubscriber::RequestSnapshot)
            .await
            .unwrap();
        let answer = next_message(&mut connection, newest).await;
        assert!(
            matches!(answer, ToSubscriber::Update(TablesUpdate::Snapshot(_))),
            "{answer:?}"
        );
    });
}

#[test]
fn a_subscriber_that_follows_a_home_receives_heartbeats_only_until_it_resumes_updates() {
    block_on(async {
        let (log, _controller, address) = start();
        let held = log.state().borrow().revision;
        let mut connection = connect(address, held).await;
        connection
            .writer
            .send(&FromSubscriber::HeartbeatsOnly)
            .await
            .unwrap();
        // By the time of a regular heartbeat, the controller has read all earlier messages.
        next_heartbeat(&mut connection).await;
        next_heartbeat(&mut connection).await;
        log.commit(&put(0, 5));
        let newest = log.state().borrow().revision;
        let notified = next_message(&mut connection, held).await;
        assert!(
            matches!(notified, ToSubscriber::Heartbeat { revision, .. } if revision == newest),
            "{notified:?}"
        );
        connection
            .writer
            .send(&FromSubscriber::ResumeUpdates {
                held_revision: held,
            })
            .await
            .unwrap();
        let update = next_message(&mut connection, newest).await;
        assert!(matches!(update, ToSubscriber::Update(_)), "{update:?}");
    });
}

#[test]
fn a_partitioned_controller_is_not_current() {
    block_on(async {
        let (log, _controller, address) = start();
        let subscription = subscribe(Subscriber::Proxy, address);
        subscription
            .status()
            .wait_for(|status| status.current)
            .await
            .unwrap();
        log.set_reachable(false);
        subscription
            .status()
            .wait_for(|status| !status.current)
            .await
            .unwrap();
    });
}

#[test]
fn a_connection_of_another_protocol_is_closed() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    block_on(async {
        let (_log, _controller, address) = start();
        let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let mut received = Vec::new();
        // The handshake message is received before the end of the stream; a reset also ends the
        // stream.
        let _ = stream.read_to_end(&mut received).await;
        assert!(received.len() < 100);
    });
}
