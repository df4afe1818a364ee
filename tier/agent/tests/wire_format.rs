//! Pins the bytes that an agent sends to the proxy on its machine, to a controller, and to another
//! agent. The fixture `tests/wire_format/agent.txt` contains one line `Name hex` per byte sequence,
//! written by the version before the message types were renamed. No test rewrites the file. There
//! is no stored format to pin, since an agent stores nothing on disk.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use plankhill_agent::failure_detection::detect_failures;
use plankhill_agent::feeder::{serve, FeedSource, FeederOptions, PROXY_FEEDER};
use plankhill_protocol::feed::{Subscriber, ToSubscriber};
use plankhill_protocol::ids::{Incarnation, NodeId, Revision, ZoneName};
use plankhill_protocol::subscription::{Subscription, SubscriptionOptions};
use plankhill_protocol::tables::{Drain, Edge, Tables, TablesUpdate};
use plankhill_protocol::transport::{listen, Channel, FrameWriter, Hello};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

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
    Edge {
        node: NodeId::from(name),
        incarnation: Incarnation(300),
        address,
        zone: ZoneName::from("west"),
    }
}

/// Returns the bytes of this name in the fixture.
fn pinned(name: &str) -> Vec<u8> {
    let fixture = include_str!("wire_format/agent.txt");
    let mut lines = fixture.lines().map(|line| line.split_once(' ').unwrap());
    let (_, hex) = lines.find(|(pinned, _)| *pinned == name).unwrap();
    assert_eq!(hex.len() % 2, 0, "odd number of hex digits: {hex}");
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

async fn assert_next_bytes(stream: &mut TcpStream, name: &str) {
    let expected = pinned(name);
    let mut bytes = vec![0; expected.len()];
    stream.read_exact(&mut bytes).await.unwrap();
    assert_eq!(bytes, expected, "{name}");
}

fn subscribe(controller: &TcpListener) -> Rc<Subscription> {
    let (_, candidates) = watch::channel(vec![controller.local_addr().unwrap()]);
    Rc::new(Subscription::start(SubscriptionOptions {
        hello: Hello::new(Channel::Feed, NodeId::from("edge-1")),
        // The address is fixed because it is part of the pinned bytes.
        subscriber: Subscriber::Edge(edge("edge-1", SocketAddr::from(([127, 0, 0, 1], 7_002)))),
        candidates,
        feeder_timeout: LONG_TIMEOUT,
    }))
}

/// Accepts the agent's connection as a controller: exchanges the pinned handshake and receives the
/// pinned subscription.
async fn accept_agent(controller: &TcpListener) -> TcpStream {
    let (mut raw, _) = controller.accept().await.unwrap();
    assert_next_bytes(&mut raw, "HelloToController").await;
    raw.write_all(&pinned("HelloOfController")).await.unwrap();
    assert_next_bytes(&mut raw, "SubscribeAsEdge").await;
    raw
}

async fn send(raw: &mut TcpStream, tables: &Tables) {
    let messages = [
        ToSubscriber::Update(TablesUpdate::Snapshot(tables.clone())),
        ToSubscriber::Heartbeat {
            revision: tables.revision,
            current: true,
        },
    ];
    FrameWriter::new(raw).send_all(&messages).await.unwrap();
}

#[test]
fn messages_to_a_proxy_and_to_a_controller_keep_their_bytes() {
    run(async {
        let controller = listen(any_port()).unwrap();
        let agent = subscribe(&controller);
        let mut connection = accept_agent(&controller).await;
        let tables = Tables {
            revision: Revision(300),
            edges: vec![edge("edge-1", SocketAddr::from(([127, 0, 0, 1], 7_002)))],
            drains: vec![Drain {
                node: NodeId::from("edge-1"),
                number: 5,
                empty: false,
            }],
            ..Tables::default()
        };
        send(&mut connection, &tables).await;
        assert_next_bytes(&mut connection, "AppliedTwice").await;

        let loopback = listen(any_port()).unwrap();
        let address = loopback.local_addr().unwrap();
        let (to_controllers, mut forwarded) = mpsc::channel(1);
        let source = FeedSource {
            tables: agent.tables(),
            status: agent.status(),
            to_controllers,
        };
        let hello = Hello::new(Channel::Feed, NodeId::from("edge-1"));
        let (connected, _) = watch::channel(0);
        let options = FeederOptions {
            heartbeat_interval: LONG_TIMEOUT,
            ..PROXY_FEEDER
        };
        tokio::task::spawn_local(serve(loopback, hello, source, options, connected));
        let mut proxy = TcpStream::connect(address).await.unwrap();
        proxy.write_all(&pinned("HelloToController")).await.unwrap();
        assert_next_bytes(&mut proxy, "HelloToController").await;
        proxy.write_all(&pinned("SubscribeAsProxy")).await.unwrap();
        assert_next_bytes(&mut proxy, "SnapshotAndHeartbeat").await;
        proxy.write_all(&pinned("EmptiedByProxy")).await.unwrap();
        assert!(agent.send(forwarded.recv().await.unwrap()));
        assert_next_bytes(&mut connection, "EmptiedByProxy").await;
    });
}

#[test]
fn datagrams_of_a_failure_detector_keep_their_bytes() {
    run(async {
        let controller = listen(any_port()).unwrap();
        let subscription = subscribe(&controller);
        let mut connection = accept_agent(&controller).await;
        let (own_socket, peer) = (
            UdpSocket::bind(any_port()).await.unwrap(),
            UdpSocket::bind(any_port()).await.unwrap(),
        );
        let own_address = own_socket.local_addr().unwrap();
        let edges = vec![
            edge("edge-1", own_address),
            edge("edge-2", peer.local_addr().unwrap()),
        ];
        let tables = Tables {
            revision: Revision(300),
            edges,
            ..Tables::default()
        };
        tokio::task::spawn_local(detect_failures(
            own_socket,
            NodeId::from("edge-1"),
            subscription,
        ));
        send(&mut connection, &tables).await;
        let mut buffer = [0_u8; 512];
        let (length, from) = peer.recv_from(&mut buffer).await.unwrap();
        assert_eq!(
            (&buffer[..length], from),
            (pinned("FirstProbe").as_slice(), own_address)
        );
        peer.send_to(&pinned("ProbeOfAgent"), own_address)
            .await
            .unwrap();
        // The agent's own probes may arrive before its answer.
        loop {
            let (length, _) = peer.recv_from(&mut buffer).await.unwrap();
            if buffer[..length] == pinned("AnswerOfAgent") {
                break;
            }
            assert_eq!(
                buffer[0],
                pinned("FirstProbe")[0],
                "neither a probe nor the answer"
            );
        }
    });
}
