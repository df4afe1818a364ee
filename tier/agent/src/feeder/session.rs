//! The session of one subscriber of the feeder, from its first message until the connection ends.

use std::fmt;
use std::time::Duration;

use plankhill_protocol::feed::{FromSubscriber, Subscriber, ToSubscriber};
use plankhill_protocol::feed_position::FeedPosition;
use plankhill_protocol::transport::{Connection, FrameReader, FrameWriter, TransportError};
use tokio::time::{timeout, Instant};

use super::FeedSource;

/// Time for which the tables count as current after a controller has confirmed them: five of its
/// heartbeat intervals, and half of the shortest contact bound.
const CONFIRMATION_TTL: Duration = Duration::from_millis(1_500);
/// Timeout for the first message of a subscriber.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout for a write; a subscriber that stops reading is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The reason why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionEnd {
    /// The first message was not a subscription, or was not received in time.
    NotSubscribed,
    /// A write failed or timed out.
    SendFailed,
    /// The connection was closed, or a message could not be read.
    ConnectionClosed,
    /// The agent's subscription to the controllers has ended.
    AgentStopped,
}

impl fmt::Display for SessionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            SessionEnd::NotSubscribed => "no subscription received",
            SessionEnd::SendFailed => "message not sent in time",
            SessionEnd::ConnectionClosed => "connection closed",
            SessionEnd::AgentStopped => "agent stopped",
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
    /// The state of the subscriber's tables as known to this feeder.
    position: FeedPosition,
    heartbeat_interval: Duration,
    next_heartbeat: Instant,
    /// The value of `current` in the last heartbeat.
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
                        return SessionEnd::AgentStopped;
                    }
                }
                // Sends a heartbeat without delay, since a proxy that has just started waits only
                // for the tables to become current.
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
                // A message may be dropped if the queue is full, since the proxy repeats it until
                // the tables reflect it.
                let _ = self.source.to_controllers.try_send(drained);
            }
            Ok(_) => {}
            Err(_) => return Err(SessionEnd::ConnectionClosed),
        }
        Ok(())
    }

    /// Sends the missing update, if any, followed by a heartbeat. Without an update, sends a
    /// heartbeat if one is due.
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
