//! One subscriber of the feeder, from its first message to the end of its connection.

use std::fmt;
use std::time::Duration;

use plankhill_protocol::feed::{FromSubscriber, Subscriber, ToSubscriber};
use plankhill_protocol::feed_position::FeedPosition;
use plankhill_protocol::transport::{Connection, FrameReader, FrameWriter, TransportError};
use tokio::time::{timeout, Instant};

use super::FeedSource;

/// The tables count as current if a controller confirmed them within this time: five of its
/// heartbeats, and half of the shortest contact bound.
const CONFIRMATION_TTL: Duration = Duration::from_millis(1_500);
/// Time for the first message of a subscriber.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A subscriber that takes nothing for this long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionEnd {
    /// The first message was no subscription, or did not come in time.
    NotSubscribed,
    /// A message could not be sent in time.
    SendFailed,
    /// The subscriber closed the connection, or sent what is no message.
    ConnectionClosed,
    /// The subscription of this agent has ended.
    AgentEnds,
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SessionEnd::NotSubscribed => "no subscription received",
            SessionEnd::SendFailed => "message not sent in time",
            SessionEnd::ConnectionClosed => "connection closed",
            SessionEnd::AgentEnds => "agent ends",
        })
    }
}

/// Serves one subscriber until its connection ends.
pub(super) async fn run(
    connection: Connection,
    source: FeedSource,
    heartbeat_interval: Duration,
) -> SessionEnd {
    let Connection {
        mut reader, writer, ..
    } = connection;
    let Ok(Ok(FromSubscriber::Subscribe {
        subscriber,
        held_revision,
    })) = timeout(SUBSCRIBE_TIMEOUT, reader.next()).await
    else {
        return SessionEnd::NotSubscribed;
    };
    let session = Session {
        writer,
        source,
        subscriber,
        position: FeedPosition::Claimed(held_revision),
        heartbeat_interval,
        next_heartbeat: Instant::now(),
        announced_current: false,
    };
    session.run(reader).await
}

struct Session {
    writer: FrameWriter,
    source: FeedSource,
    subscriber: Subscriber,
    /// The tables of the subscriber, as far as this feeder knows them.
    position: FeedPosition,
    heartbeat_interval: Duration,
    next_heartbeat: Instant,
    /// What the last heartbeat said.
    announced_current: bool,
}

impl Session {
    async fn run(mut self, reader: FrameReader) -> SessionEnd {
        let mut reading = Box::pin(reader.into_next());
        loop {
            if let Err(end) = self.send_newest().await {
                return end;
            }
            tokio::select! {
                (reader, message) = &mut reading => {
                    if let Err(end) = self.on_message(message) {
                        return end;
                    }
                    reading = Box::pin(reader.into_next());
                }
                changed = self.source.tables.changed() => {
                    if changed.is_err() {
                        return SessionEnd::AgentEnds;
                    }
                }
                // A proxy that has just started waits only for the tables to become current.
                Ok(()) = self.source.status.changed() => {
                    if self.is_current() != self.announced_current {
                        self.next_heartbeat = Instant::now();
                    }
                }
                () = tokio::time::sleep_until(self.next_heartbeat) => {}
            }
        }
    }

    fn on_message(
        &mut self,
        message: Result<FromSubscriber, TransportError>,
    ) -> Result<(), SessionEnd> {
        match message {
            Ok(FromSubscriber::RequestSnapshot) => self.position = FeedPosition::Empty,
            Ok(drained @ FromSubscriber::Drained { .. })
                if self.subscriber == Subscriber::Proxy =>
            {
                // The proxy repeats the message until the tables show it, so one that finds the
                // queue full may be lost.
                let _ = self.source.to_controllers.try_send(drained);
            }
            Ok(_) => {}
            Err(_) => return Err(SessionEnd::ConnectionClosed),
        }
        Ok(())
    }

    /// Sends the update that the subscriber lacks, and a heartbeat with it or when one is due.
    async fn send_newest(&mut self) -> Result<(), SessionEnd> {
        let tables = self.source.tables.borrow_and_update().clone();
        let update = self.position.advance_to(&tables);
        if update.is_none() && self.next_heartbeat > Instant::now() {
            return Ok(());
        }
        self.next_heartbeat = Instant::now() + self.heartbeat_interval;
        self.announced_current = self.is_current();
        let mut messages = Vec::new();
        messages.extend(update.map(ToSubscriber::Update));
        messages.push(ToSubscriber::Heartbeat {
            revision: tables.revision,
            current: self.announced_current,
        });
        match timeout(WRITE_TIMEOUT, self.writer.send_all(&messages)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(SessionEnd::SendFailed),
        }
    }

    fn is_current(&self) -> bool {
        let now = std::time::Instant::now();
        self.source
            .status
            .borrow()
            .confirmed_within(CONFIRMATION_TTL, now)
    }
}
