//! Runs a subscription on one connection to a feeder, after the subscribe message has been sent,
//! until the connection ends. Started by [`super::task`]; [`Progress`] decides how messages are
//! handled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::task::{LinkState, SubscriptionTask};
use super::{Command, Progress, Step};
use crate::feed::{FromSubscriber, Subscriber, ToSubscriber};
use crate::ids::Revision;
use crate::tables::Tables;
use crate::transport::{FrameReader, FrameWriter};

/// The reason for the end of a session.
pub(super) enum SessionEnd {
    /// The owner dropped the subscription.
    SubscriptionDropped,
    /// The feeder failed or was no longer current, after it had been current during the session.
    Served,
    /// The feeder failed and was never current.
    NeverCurrent,
    /// The feeder did not become current within the stale timeout.
    StayedStale,
}

/// The connection has to be closed.
struct ConnectionDone;

/// State of one connection to a feeder.
pub(super) struct Session<'a> {
    task: &'a mut SubscriptionTask,
    writer: FrameWriter,
    address: SocketAddr,
    /// Time within which the feeder has to become current; `None` if there is no other feeder.
    stale_timeout: Option<Duration>,
    progress: Progress,
    /// Whether the feeder has confirmed the tables and has not been found to be stale since.
    current: bool,
    /// Whether the feeder has been current at any time during this session.
    was_current: bool,
    /// Time of the feeder's last message; initially the start of the session.
    last_message_at: Instant,
    /// Time at which the session ends unless the feeder becomes current before.
    leave_at: Option<Instant>,
}

impl<'a> Session<'a> {
    /// Creates a session with the feeder at `address`. The session with a feeder that is not
    /// current ends after `stale_timeout`, or never if `stale_timeout` is `None`.
    pub(super) fn new(
        task: &'a mut SubscriptionTask,
        writer: FrameWriter,
        address: SocketAddr,
        stale_timeout: Option<Duration>,
    ) -> Self {
        Session {
            task,
            writer,
            address,
            stale_timeout,
            progress: Progress::default(),
            current: false,
            was_current: false,
            last_message_at: Instant::now(),
            leave_at: None,
        }
    }

    /// Runs until the connection has to be closed or the owner drops the subscription.
    pub(super) async fn run(mut self, reader: FrameReader) -> SessionEnd {
        let mut reading = Box::pin(reader.into_next::<ToSubscriber>());
        loop {
            self.publish_status();
            let wake_at = self.wake_at();
            let done = tokio::select! {
                biased;
                (reader, message) = &mut reading => match message {
                    Ok(message) => {
                        reading = Box::pin(reader.into_next());
                        self.on_message(message).await
                    }
                    Err(_) => Err(ConnectionDone),
                },
                command = self.task.commands.recv() => match command {
                    Some(command) => self.on_command(command).await,
                    None => return SessionEnd::SubscriptionDropped,
                },
                () = tokio::time::sleep_until(wake_at.into()) => self.on_wake().await,
            };
            if done.is_err() {
                return self.end();
            }
        }
    }

    fn end(&self) -> SessionEnd {
        if self.was_current {
            SessionEnd::Served
        } else if self.must_leave() {
            SessionEnd::StayedStale
        } else {
            SessionEnd::NeverCurrent
        }
    }

    fn publish_status(&self) {
        self.task.publish_status(LinkState {
            current: self.current,
            follows_home: self.progress.follows_home(),
            address: Some(self.address),
        });
    }

    /// Returns the time at which the feeder times out unless a message arrives before.
    fn times_out_at(&self) -> Instant {
        self.last_message_at + self.task.options.feeder_timeout
    }

    /// Returns the time of the next timeout or deadline of the session.
    fn wake_at(&self) -> Instant {
        let mut wake_at = self.times_out_at();
        if let Some(deadline) = self.progress.home_deadline() {
            wake_at = wake_at.min(deadline);
        }
        if let Some(leave_at) = self.leave_at {
            wake_at = wake_at.min(leave_at);
        }
        wake_at
    }

    /// Returns whether the time within which the feeder had to become current has elapsed.
    fn must_leave(&self) -> bool {
        self.leave_at
            .is_some_and(|leave_at| Instant::now() >= leave_at)
    }

    async fn on_message(&mut self, message: ToSubscriber) -> Result<(), ConnectionDone> {
        let now = Instant::now();
        // This process was not scheduled for a while, so that the messages buffered in the socket
        // are outdated.
        if now > self.times_out_at() + self.task.options.feeder_timeout {
            return Err(ConnectionDone);
        }
        self.last_message_at = now;
        let mut tables = self.task.tables.borrow().clone();
        let revision = tables.revision;
        match self.progress.on_message(message, &mut tables, now) {
            Step::Changed => self.publish_tables(tables).await,
            Step::Confirmed => {
                self.current = true;
                self.was_current = true;
                self.leave_at = None;
                self.task.confirm_tables();
                self.acknowledge(revision).await
            }
            Step::Unconfirmed => self.acknowledge(revision).await,
            Step::RequestSnapshot => self.send(&FromSubscriber::RequestSnapshot).await,
            Step::NewFeeders(feeders) => {
                self.task.set_advertised_feeders(feeders);
                Ok(())
            }
            Step::NotCurrent => self.on_not_current(revision).await,
            Step::Reconnect => Err(ConnectionDone),
        }
    }

    async fn publish_tables(&mut self, tables: Arc<Tables>) -> Result<(), ConnectionDone> {
        let revision = tables.revision;
        self.task.tables.send_replace(tables);
        self.acknowledge(revision).await
    }

    /// Ends the session if there is another feeder: at once if this feeder was current before,
    /// otherwise after `stale_timeout`. When all controllers have started together, none is current
    /// yet, and switching from one to the next would only cause load.
    async fn on_not_current(&mut self, revision: Revision) -> Result<(), ConnectionDone> {
        tracing::debug!(address = %self.address, "feeder not current");
        self.current = false;
        if let Some(stale_timeout) = self.stale_timeout {
            let leave_at = *self.leave_at.get_or_insert(Instant::now() + stale_timeout);
            if self.was_current || Instant::now() >= leave_at {
                return Err(ConnectionDone);
            }
        }
        self.acknowledge(revision).await
    }

    /// Acknowledges an update or a heartbeat. Agents need no acknowledgments from their
    /// subscribers, which would only wake two processes.
    async fn acknowledge(&mut self, revision: Revision) -> Result<(), ConnectionDone> {
        match self.task.options.subscriber {
            Subscriber::Proxy | Subscriber::Peer => Ok(()),
            Subscriber::Edge(_) | Subscriber::Store(_) => {
                self.send(&FromSubscriber::Applied(revision)).await
            }
        }
    }

    async fn on_command(&mut self, command: Command) -> Result<(), ConnectionDone> {
        match command {
            Command::Send { message, flushed } => {
                self.send(&message).await?;
                if let Some(flushed) = flushed {
                    // The owner may have stopped waiting.
                    let _ = flushed.send(());
                }
                Ok(())
            }
            Command::FollowHome => self.follow_home().await,
            Command::FollowFeeder => self.follow_feeder().await,
            Command::Offer(offered) => self.on_offer(offered).await,
        }
    }

    async fn on_offer(&mut self, offered: Arc<Tables>) -> Result<(), ConnectionDone> {
        let mut tables = self.task.tables.borrow().clone();
        match self.progress.on_offer(offered, &mut tables) {
            Step::Changed => self.publish_tables(tables).await,
            _ => Ok(()),
        }
    }

    async fn follow_home(&mut self) -> Result<(), ConnectionDone> {
        let revision = self.task.tables.borrow().revision;
        match self.progress.follow_home(revision) {
            Some(message) => self.send(&message).await,
            None => Ok(()),
        }
    }

    async fn follow_feeder(&mut self) -> Result<(), ConnectionDone> {
        let revision = self.task.tables.borrow().revision;
        match self.progress.follow_feeder(revision) {
            Some(message) => self.send(&message).await,
            None => Ok(()),
        }
    }

    /// Handles the timeouts and deadlines of [`Session::wake_at`].
    async fn on_wake(&mut self) -> Result<(), ConnectionDone> {
        if self.must_leave() {
            return Err(ConnectionDone);
        }
        let now = Instant::now();
        if now >= self.times_out_at() {
            tracing::info!(address = %self.address, "feeder timed out");
            return Err(ConnectionDone);
        }
        if self
            .progress
            .home_deadline()
            .is_some_and(|deadline| now >= deadline)
        {
            let address = self.address;
            tracing::info!(%address, "zone home lags; updates resumed from the feeder");
            return self.follow_feeder().await;
        }
        Ok(())
    }

    async fn send(&mut self, message: &FromSubscriber) -> Result<(), ConnectionDone> {
        match timeout(self.task.options.feeder_timeout, self.writer.send(message)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(ConnectionDone),
        }
    }
}
