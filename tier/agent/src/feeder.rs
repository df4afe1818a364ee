//! Feeds the proxy of the same machine over loopback.

use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::feed::{FromSubscriber, ToSubscriber};
use plankhill_protocol::feeder::Held;
use plankhill_protocol::subscription::LinkStanding;
use plankhill_protocol::tables::Tables;
use plankhill_protocol::transport::{accept, FrameReader, FrameWriter, Hello, TransportError};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

/// Time between heartbeats to the proxy: each one wakes both processes, and these share a fraction of a core.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// The tables count as current if a controller confirmed them within this time: five of its heartbeats, and
/// half of the shortest contact bound.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(1_500);
/// A subscriber that takes nothing for this long is dropped.
const WRITE_LIMIT: Duration = Duration::from_millis(2_000);
/// Pause after a failed accept, so that other connections can end.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections at once: one proxy, and a new one while the old one's end is not seen yet.
const CONNECTIONS: usize = 4;

/// What is fed.
#[derive(Clone)]
pub(crate) struct Source {
    /// The tables of this machine.
    pub(crate) tables: watch::Receiver<Arc<Tables>>,
    /// How the link to the controllers stands.
    pub(crate) standing: watch::Receiver<LinkStanding>,
}

/// Accepts subscribers for ever; `connected` tells how many there are.
pub(crate) async fn serve(
    listener: TcpListener,
    hello: Hello,
    source: Source,
    connected: watch::Sender<usize>,
) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if *connected.borrow() >= CONNECTIONS {
            continue;
        }
        connected.send_modify(|count| *count += 1);
        let (hello, source, connected) = (hello.clone(), source.clone(), connected.clone());
        tokio::task::spawn_local(async move {
            if let Ok(connection) = accept(stream, address, &hello).await {
                let ended = Feed::new(connection.writer, source).run(connection.reader).await;
                tracing::info!(reason = ended, "proxy left");
            }
            connected.send_modify(|count| *count -= 1);
        });
    }
}

/// One subscriber.
struct Feed {
    writer: FrameWriter,
    source: Source,
    held: Held,
    beat: Instant,
}

impl Feed {
    fn new(writer: FrameWriter, source: Source) -> Self {
        Feed { writer, source, held: Held::Nothing, beat: Instant::now() }
    }

    /// Feeds until the connection ends; says why it did.
    async fn run(mut self, mut reader: FrameReader) -> &'static str {
        match timeout(WRITE_LIMIT, reader.next()).await {
            Ok(Ok(FromSubscriber::Subscribe { held, .. })) => self.held = Held::Revision(held),
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
                        Ok(FromSubscriber::WantsSnapshot) => self.held = Held::Nothing,
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
                () = tokio::time::sleep_until(self.beat) => {}
            }
        }
    }

    /// Sends what the subscriber lacks, and a heartbeat when one is due.
    async fn send_newest(&mut self) -> bool {
        let tables = self.source.tables.borrow_and_update().clone();
        if let Some(update) = self.held.advance(&tables) {
            // A heartbeat follows at once, so that the subscriber knows that it is current.
            self.beat = Instant::now();
            if !self.send(ToSubscriber::Update(update)).await {
                return false;
            }
        }
        if self.beat > Instant::now() {
            return true;
        }
        self.beat = Instant::now() + HEARTBEAT;
        let current =
            self.source.standing.borrow().confirmed_within(CONFIRMED_WITHIN, std::time::Instant::now());
        self.send(ToSubscriber::Heartbeat { revision: tables.revision, current }).await
    }

    async fn send(&mut self, message: ToSubscriber) -> bool {
        matches!(timeout(WRITE_LIMIT, self.writer.send(&message)).await, Ok(Ok(())))
    }
}

/// One message; the reader comes back with it, so that waiting can go on over several turns of a loop.
async fn receive(mut reader: FrameReader) -> (FrameReader, Result<FromSubscriber, TransportError>) {
    let message = reader.next().await;
    (reader, message)
}
