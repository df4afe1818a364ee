//! Feeds subscribers of this agent: the proxy of the same machine, and other agents of its zone.

use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::feed::{FromSubscriber, Subscriber, ToSubscriber};
use plankhill_protocol::feed_position::FeedPosition;
use plankhill_protocol::subscription::LinkStatus;
use plankhill_protocol::tables::Tables;
use plankhill_protocol::transport::{accept, FrameReader, FrameWriter, Hello, TransportError};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{timeout, Instant};

/// Whom a feeder serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Audience {
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Connections at once; further ones are closed, and their subscribers go elsewhere.
    pub connections: usize,
}

/// The proxy of the same machine. Each heartbeat wakes both processes, and these share a fraction of a core. A
/// new connection may come before the end of the old one is seen.
pub const PROXY: Audience = Audience {
    heartbeat: Duration::from_millis(500),
    connections: 4,
};
/// Other agents of the zone. They do not rely on heartbeats: what counts is that updates come as soon as a
/// controller has announced them.
pub const PEERS: Audience = Audience {
    heartbeat: Duration::from_secs(10),
    connections: 64,
};
/// The tables count as current if a controller confirmed them within this time: five of its heartbeats, and
/// half of the shortest contact bound.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(1_500);
/// A subscriber that takes nothing for this long is dropped.
const WRITE_LIMIT: Duration = Duration::from_millis(2_000);
/// Pause after a failed accept, so that other connections can end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What is fed.
#[derive(Clone)]
pub struct Source {
    /// The tables of this machine.
    pub tables: watch::Receiver<Arc<Tables>>,
    /// How the link to the controllers stands.
    pub standing: watch::Receiver<LinkStatus>,
    /// What subscribers say to the controllers.
    pub upwards: mpsc::Sender<FromSubscriber>,
}

/// Accepts subscribers for ever; `connected` tells how many there are.
pub async fn serve(
    listener: TcpListener,
    hello: Hello,
    source: Source,
    audience: Audience,
    connected: watch::Sender<usize>,
) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if *connected.borrow() >= audience.connections {
            continue;
        }
        connected.send_modify(|count| *count += 1);
        let (hello, source, connected) = (hello.clone(), source.clone(), connected.clone());
        tokio::task::spawn_local(async move {
            if let Ok(connection) = accept(stream, address, &hello).await {
                let ended = Feed::new(connection.writer, source, audience.heartbeat)
                    .run(connection.reader)
                    .await;
                tracing::info!(node = %connection.peer.node, reason = ended, "subscriber left");
            }
            connected.send_modify(|count| *count -= 1);
        });
    }
}

/// One subscriber.
struct Feed {
    writer: FrameWriter,
    source: Source,
    held: FeedPosition,
    /// Whether it is the proxy of this machine, which speaks for it.
    is_proxy: bool,
    heartbeat: Duration,
    beat: Instant,
    /// What the last heartbeat said.
    told_current: bool,
}

impl Feed {
    fn new(writer: FrameWriter, source: Source, heartbeat: Duration) -> Self {
        Feed {
            writer,
            source,
            held: FeedPosition::Empty,
            is_proxy: false,
            heartbeat,
            beat: Instant::now(),
            told_current: false,
        }
    }

    /// Feeds until the connection ends; says why it did.
    async fn run(mut self, mut reader: FrameReader) -> &'static str {
        match timeout(WRITE_LIMIT, reader.next()).await {
            Ok(Ok(FromSubscriber::Subscribe {
                subscriber,
                held_revision: held,
            })) => {
                self.held = FeedPosition::Claimed(held);
                self.is_proxy = subscriber == Subscriber::Proxy;
            }
            _ => return "no subscription",
        }
        let mut reading = Box::pin(receive(reader));
        loop {
            if !self.send_newest().await {
                return "connection broke";
            }
            tokio::select! {
                (reader, message) = &mut reading => {
                    match message {
                        Ok(FromSubscriber::RequestSnapshot) => self.held = FeedPosition::Empty,
                        // It is said again until the tables show it, so one that finds no room may be lost.
                        Ok(emptied @ FromSubscriber::Drained { .. }) if self.is_proxy => {
                            let _ = self.source.upwards.try_send(emptied);
                        }
                        Ok(_) => {}
                        Err(_) => return "connection closed",
                    }
                    reading = Box::pin(receive(reader));
                }
                changed = self.source.tables.changed() => {
                    if changed.is_err() {
                        return "this agent ends";
                    }
                }
                // A proxy that has just started waits for nothing else.
                Ok(()) = self.source.standing.changed() => {
                    if self.is_current() != self.told_current {
                        self.beat = Instant::now();
                    }
                }
                () = tokio::time::sleep_until(self.beat) => {}
            }
        }
    }

    /// Sends what the subscriber lacks, and a heartbeat with it or when one is due.
    async fn send_newest(&mut self) -> bool {
        let tables = self.source.tables.borrow_and_update().clone();
        let mut messages = Vec::new();
        messages.extend(self.held.advance_to(&tables).map(ToSubscriber::Update));
        if messages.is_empty() && self.beat > Instant::now() {
            return true;
        }
        self.beat = Instant::now() + self.heartbeat;
        self.told_current = self.is_current();
        messages.push(ToSubscriber::Heartbeat {
            revision: tables.revision,
            current: self.told_current,
        });
        matches!(
            timeout(WRITE_LIMIT, self.writer.send_all(&messages)).await,
            Ok(Ok(()))
        )
    }

    fn is_current(&self) -> bool {
        let now = std::time::Instant::now();
        self.source
            .standing
            .borrow()
            .confirmed_within(CONFIRMED_WITHIN, now)
    }
}

/// One message; the reader comes back with it, so that waiting can go on over several turns of a loop.
async fn receive(mut reader: FrameReader) -> (FrameReader, Result<FromSubscriber, TransportError>) {
    let message = reader.next().await;
    (reader, message)
}
