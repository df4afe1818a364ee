//! Tests the agent's feeder and zone homes over loopback connections. Each test acts as the
//! controller.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_agent::feeder::{serve, FeedSource, FeederOptions, PEER_FEEDER, PROXY_FEEDER};
use plankhill_agent::homes::follow_homes;
use plankhill_membership::homes::home_of;
use plankhill_protocol::feed::{FromSubscriber, Subscriber, ToSubscriber};
use plankhill_protocol::ids::{Incarnation, NodeId, Revision, ZoneName};
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions};
use plankhill_protocol::tables::{Edge, Tables, TablesChange, TablesUpdate};
use plankhill_protocol::transport::{accept, listen, Channel, Connection, Hello};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet};

/// Far longer than any wait in these tests.
const LONG_TIMEOUT: Duration = Duration::from_secs(60);

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn edge(name: &str, address: SocketAddr) -> Edge {
    let (node, zone) = (NodeId::from(name), ZoneName::from("west"));
    Edge {
        node,
        incarnation: Incarnation(1),
        address,
        zone,
    }
}

fn hello(name: &str) -> Hello {
    Hello::new(Channel::Feed, NodeId::from(name))
}

fn subscribe(name: &str, subscriber: Subscriber, feeder: SocketAddr) -> Subscription {
    let (_, candidates) = watch::channel(vec![feeder]);
    let hello = hello(name);
    Subscription::start(SubscriptionOptions {
        hello,
        subscriber,
        candidates,
        feeder_timeout: LONG_TIMEOUT,
    })
}

/// The listener of the simulated controller.
struct Controller {
    listener: TcpListener,
}

impl Controller {
    fn new() -> Self {
        Controller {
            listener: listen(any_port()).unwrap(),
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    async fn accept_subscriber(&self) -> Connection {
        let (stream, address) = self.listener.accept().await.unwrap();
        let mut connection = accept(stream, address, &hello("core-1")).await.unwrap();
        let first = connection.reader.next().await.unwrap();
        assert!(matches!(first, FromSubscriber::Subscribe { .. }));
        connection
    }
}

async fn send(connection: &mut Connection, message: ToSubscriber) {
    connection.writer.send(&message).await.unwrap();
}

fn snapshot(tables: &Tables) -> ToSubscriber {
    ToSubscriber::Update(TablesUpdate::Snapshot(tables.clone()))
}

fn heartbeat(revision: u64) -> ToSubscriber {
    ToSubscriber::Heartbeat {
        revision: Revision(revision),
        current: true,
    }
}

/// Reads messages until `expected` is received.
async fn wait_for(connection: &mut Connection, expected: FromSubscriber) {
    while connection.reader.next::<FromSubscriber>().await.unwrap() != expected {}
}

fn start_feeder(of: &Subscription, options: FeederOptions) -> (SocketAddr, JoinHandle<()>) {
    let listener = listen(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    let (to_controllers, _) = mpsc::channel(1);
    let source = FeedSource {
        tables: of.tables(),
        status: of.status(),
        to_controllers,
    };
    let (connected, _) = watch::channel(0);
    let serving = serve(listener, hello("edge-1"), source, options, connected);
    (address, tokio::task::spawn_local(serving))
}

#[test]
fn a_proxy_receives_the_agents_tables_and_is_current_when_the_agent_is() {
    run(async {
        let controller = Controller::new();
        let own_edge = edge("edge-1", any_port());
        let agent = subscribe(
            "edge-1",
            Subscriber::Edge(own_edge.clone()),
            controller.address(),
        );
        let (loopback, _feeder) = start_feeder(&agent, PROXY_FEEDER);
        let proxy = subscribe("edge-1", Subscriber::Proxy, loopback);
        let mut connection = controller.accept_subscriber().await;
        let tables = Tables {
            revision: Revision(3),
            edges: vec![own_edge],
            ..Tables::default()
        };
        send(&mut connection, snapshot(&tables)).await;
        send(&mut connection, heartbeat(3)).await;
        proxy
            .tables()
            .wait_for(|held| **held == tables)
            .await
            .unwrap();
        proxy
            .status()
            .wait_for(|status| status.current)
            .await
            .unwrap();
    });
}

/// Guards against a slow start after an outage: the proxy accepts clients once its tables are known
/// to be current, and must not have to wait for the next regular heartbeat.
#[test]
fn a_proxy_is_notified_at_once_when_its_agent_becomes_current() {
    run(async {
        let controller = Controller::new();
        let own_edge = edge("edge-1", any_port());
        let agent = subscribe(
            "edge-1",
            Subscriber::Edge(own_edge.clone()),
            controller.address(),
        );
        let never = Duration::from_secs(3_600);
        let (loopback, _feeder) = start_feeder(
            &agent,
            FeederOptions {
                heartbeat_interval: never,
                ..PROXY_FEEDER
            },
        );
        let proxy = subscribe("edge-1", Subscriber::Proxy, loopback);
        let mut connection = controller.accept_subscriber().await;
        let tables = Tables {
            revision: Revision(3),
            edges: vec![own_edge],
            ..Tables::default()
        };
        send(&mut connection, snapshot(&tables)).await;
        proxy
            .tables()
            .wait_for(|held| **held == tables)
            .await
            .unwrap();
        assert!(!proxy.status().borrow().current);
        send(&mut connection, heartbeat(3)).await;
        proxy
            .status()
            .wait_for(|status| status.current)
            .await
            .unwrap();
    });
}

#[test]
fn a_proxy_of_an_agent_without_tables_is_not_current() {
    run(async {
        let controller = Controller::new();
        let own_edge = edge("edge-1", any_port());
        let agent = subscribe("edge-1", Subscriber::Edge(own_edge), controller.address());
        let (loopback, _feeder) = start_feeder(&agent, PROXY_FEEDER);
        let proxy = subscribe("edge-1", Subscriber::Proxy, loopback);
        let mut status = proxy.status();
        status
            .wait_for(|status| status.address.is_some())
            .await
            .unwrap();
        assert!(!status.borrow().current);
    });
}

/// Two agents of one zone, each with its own connection to the controller.
struct Zone {
    home: Connection,
    other: Connection,
    other_agent: Rc<Subscription>,
    home_feeder: JoinHandle<()>,
    tables: Tables,
    _home_agent: Subscription,
}

/// Starts two agents and waits until the second one follows the first and has requested only
/// heartbeats from the controller.
async fn zone() -> Zone {
    let controller = Controller::new();
    // The feeder of the home agent can use either name; it is given the name that is selected as
    // the home.
    let names = ["edge-1", "edge-2"];
    let candidates: Vec<Edge> = names.iter().map(|name| edge(name, any_port())).collect();
    let home_name = home_of(&ZoneName::from("west"), &candidates)
        .unwrap()
        .node
        .clone();
    let other_name = names
        .into_iter()
        .find(|name| *name != home_name.as_str())
        .unwrap();
    let other = edge(other_name, any_port());
    let placeholder = Subscriber::Edge(edge(home_name.as_str(), any_port()));
    let home_agent = subscribe(home_name.as_str(), placeholder, controller.address());
    let (address, home_feeder) = start_feeder(&home_agent, PEER_FEEDER);
    let home = edge(home_name.as_str(), address);
    let mut home_connection = controller.accept_subscriber().await;
    let mut edges = vec![home, other.clone()];
    edges.sort_by(|one, another| one.node.cmp(&another.node));
    let tables = Tables {
        revision: Revision(3),
        edges,
        ..Tables::default()
    };
    send(&mut home_connection, snapshot(&tables)).await;
    send(&mut home_connection, heartbeat(3)).await;
    home_agent
        .status()
        .wait_for(|status| status.current)
        .await
        .unwrap();

    let subscriber = Subscriber::Edge(other.clone());
    let other_agent = Rc::new(subscribe(other_name, subscriber, controller.address()));
    let mut other_connection = controller.accept_subscriber().await;
    send(&mut other_connection, snapshot(&tables)).await;
    send(&mut other_connection, heartbeat(3)).await;
    tokio::task::spawn_local(follow_homes(other, other_agent.clone()));
    wait_for(&mut other_connection, FromSubscriber::HeartbeatsOnly).await;
    let _home_agent = home_agent;
    Zone {
        home: home_connection,
        other: other_connection,
        other_agent,
        home_feeder,
        tables,
        _home_agent,
    }
}

fn next_revision() -> ToSubscriber {
    let changes = vec![TablesChange::Stores(Default::default())];
    ToSubscriber::Update(TablesUpdate::Changes {
        from: Revision(3),
        to: Revision(4),
        changes,
    })
}

#[test]
fn the_home_delivers_a_revision_that_the_controller_only_announces() {
    run(async {
        let mut zone = zone().await;
        send(&mut zone.other, heartbeat(4)).await;
        send(&mut zone.home, next_revision()).await;
        send(&mut zone.home, heartbeat(4)).await;
        let has_revision_four = |held: &Arc<Tables>| held.revision == Revision(4);
        zone.other_agent
            .tables()
            .wait_for(has_revision_four)
            .await
            .unwrap();
        assert_eq!(zone.other_agent.tables().borrow().edges, zone.tables.edges);
    });
}

#[test]
fn a_home_that_lags_is_replaced_by_the_controller() {
    run(async {
        let mut zone = zone().await;
        send(&mut zone.other, heartbeat(4)).await;
        wait_for(
            &mut zone.other,
            FromSubscriber::ResumeUpdates {
                held_revision: Revision(3),
            },
        )
        .await;
        send(&mut zone.other, next_revision()).await;
        let has_revision_four = |held: &Arc<Tables>| held.revision == Revision(4);
        zone.other_agent
            .tables()
            .wait_for(has_revision_four)
            .await
            .unwrap();
    });
}

#[test]
fn a_home_that_leaves_the_zone_is_replaced_before_the_next_announcement() {
    run(async {
        let mut zone = zone().await;
        zone.home_feeder.abort();
        let home_node = home_of(&ZoneName::from("west"), &zone.tables.edges)
            .unwrap()
            .node
            .clone();
        let changes = vec![TablesChange::EdgeRemoved(home_node)];
        let update = TablesUpdate::Changes {
            from: Revision(3),
            to: Revision(4),
            changes,
        };
        send(&mut zone.other, ToSubscriber::Update(update)).await;
        wait_for(
            &mut zone.other,
            FromSubscriber::ResumeUpdates {
                held_revision: Revision(4),
            },
        )
        .await;
    });
}
