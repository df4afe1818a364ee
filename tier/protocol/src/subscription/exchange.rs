//! What passes over one connection of a subscription.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::link::Link;
use super::{Order, Progress, Step};
use crate::feed::{FromSubscriber, Subscriber, ToSubscriber};
use crate::ids::Revision;
use crate::tables::Tables;
use crate::transport::{FrameReader, FrameWriter, TransportError};

/// Why a connection ended.
pub(super) enum Ended {
    /// The owner dropped the subscription.
    Owner,
    /// The feeder is of no more use, and was current at some time.
    Useful,
    /// The feeder was of no use.
    Useless,
    /// The feeder was not current for as long as it was given.
    NotCurrent,
}

/// Why a connection is to be ended.
struct Stop;

/// One connection.
pub(super) struct Exchange<'a> {
    link: &'a mut Link,
    writer: FrameWriter,
    address: SocketAddr,
    /// How long the feeder may take to become current; None if there is no other one to go to.
    patience: Option<Duration>,
    progress: Progress,
    current: bool,
    useful: bool,
    heard: Instant,
    /// When the feeder is left, unless it becomes current before.
    leave_at: Option<Instant>,
}

impl<'a> Exchange<'a> {
    /// A connection to `address`. A feeder that is not current is left after `patience`; never if there is none.
    pub(super) fn new(
        link: &'a mut Link,
        writer: FrameWriter,
        address: SocketAddr,
        patience: Option<Duration>,
    ) -> Self {
        Exchange {
            link,
            writer,
            address,
            patience,
            progress: Progress::default(),
            current: false,
            useful: false,
            heard: Instant::now(),
            leave_at: None,
        }
    }

    /// Runs until the connection is of no more use.
    pub(super) async fn run(mut self, reader: FrameReader) -> Ended {
        let mut reading = Box::pin(receive(reader));
        loop {
            self.stand();
            let wake = self.silent_at();
            let wake = self
                .progress
                .home_is_overdue_at()
                .map_or(wake, |overdue| overdue.min(wake));
            let wake = self.leave_at.map_or(wake, |leave| leave.min(wake));
            let done = tokio::select! {
                biased;
                (reader, message) = &mut reading => match message {
                    Ok(message) => {
                        reading = Box::pin(receive(reader));
                        self.take(message).await
                    }
                    Err(_) => Err(Stop),
                },
                order = self.link.orders.recv() => match order {
                    Some(order) => self.obey(order).await,
                    None => return Ended::Owner,
                },
                () = tokio::time::sleep_until(wake.into()) => self.wake().await,
            };
            if done.is_err() {
                return self.ended();
            }
        }
    }

    fn ended(&self) -> Ended {
        let patience_over = self.leave_at.is_some_and(|leave| Instant::now() >= leave);
        match (self.useful, patience_over) {
            (true, _) => Ended::Useful,
            (false, true) => Ended::NotCurrent,
            (false, false) => Ended::Useless,
        }
    }

    fn stand(&self) {
        self.link
            .stand(self.current, self.progress.is_by_home(), Some(self.address));
    }

    fn silent_at(&self) -> Instant {
        self.heard + self.link.options.feeder_timeout
    }

    /// A message of the feeder.
    async fn take(&mut self, message: ToSubscriber) -> Result<(), Stop> {
        let now = Instant::now();
        // This process stood still: what waited in the socket is old.
        if now > self.silent_at() + self.link.options.feeder_timeout {
            return Err(Stop);
        }
        self.heard = now;
        let mut tables = self.link.tables.borrow().clone();
        let revision = tables.revision;
        match self.progress.take(message, &mut tables, now) {
            Step::Changed => self.publish(tables).await,
            Step::Confirmed => {
                (self.current, self.useful, self.leave_at) = (true, true, None);
                self.link.confirm();
                self.alive(revision).await
            }
            Step::Unconfirmed => self.alive(revision).await,
            Step::WantsSnapshot => self.send(&FromSubscriber::RequestSnapshot).await,
            Step::Feeders(feeders) => {
                self.link.learn(feeders);
                Ok(())
            }
            Step::Leave => self.not_current(revision).await,
            Step::Broken => Err(Stop),
        }
    }

    async fn publish(&mut self, tables: Arc<Tables>) -> Result<(), Stop> {
        let revision = tables.revision;
        self.link.tables.send_replace(tables);
        self.alive(revision).await
    }

    /// Another feeder is asked, if there is one: at once where this one was current, otherwise after some patience. When
    /// all have started together none is current yet, and going from one to the next would bring nothing but load.
    async fn not_current(&mut self, held: Revision) -> Result<(), Stop> {
        tracing::debug!(address = %self.address, "feeder is not current");
        self.current = false;
        if let Some(patience) = self.patience {
            let leave_at = *self.leave_at.get_or_insert(Instant::now() + patience);
            if self.useful || Instant::now() >= leave_at {
                return Err(Stop);
            }
        }
        self.alive(held).await
    }

    /// The answer to an update or a heartbeat. Agents need none: it would only wake two processes.
    async fn alive(&mut self, held: Revision) -> Result<(), Stop> {
        match self.link.options.subscriber {
            Subscriber::Proxy | Subscriber::Peer => Ok(()),
            Subscriber::Edge(_) | Subscriber::Store(_) => {
                self.send(&FromSubscriber::Applied(held)).await
            }
        }
    }

    async fn obey(&mut self, order: Order) -> Result<(), Stop> {
        match order {
            Order::Send { message, written } => {
                self.send(&message).await?;
                // The owner may have stopped waiting, or never waited.
                let _ = written.map(|written| written.send(()));
                Ok(())
            }
            Order::ByHome => self.by_home().await,
            Order::Direct => self.direct().await,
            Order::Offer(offered) => self.offered(offered).await,
        }
    }

    async fn offered(&mut self, offered: Arc<Tables>) -> Result<(), Stop> {
        let mut tables = self.link.tables.borrow().clone();
        match self.progress.offered(offered, &mut tables) {
            Step::Changed => self.publish(tables).await,
            _ => Ok(()),
        }
    }

    async fn by_home(&mut self) -> Result<(), Stop> {
        let held = self.link.tables.borrow().revision;
        match self.progress.begin_by_home(held) {
            Some(message) => self.send(&message).await,
            None => Ok(()),
        }
    }

    async fn direct(&mut self) -> Result<(), Stop> {
        let held = self.link.tables.borrow().revision;
        match self.progress.end_by_home(held) {
            Some(message) => self.send(&message).await,
            None => Ok(()),
        }
    }

    /// The feeder is silent, or the home lags.
    async fn wake(&mut self) -> Result<(), Stop> {
        if self.leave_at.is_some_and(|leave| Instant::now() >= leave) {
            return Err(Stop);
        }
        if Instant::now() >= self.silent_at() {
            tracing::info!(address = %self.address, "feeder is silent");
            return Err(Stop);
        }
        if self
            .progress
            .home_is_overdue_at()
            .is_some_and(|overdue| Instant::now() >= overdue)
        {
            tracing::info!(address = %self.address, "home lags; updates come from the feeder");
            return self.direct().await;
        }
        Ok(())
    }

    async fn send(&mut self, message: &FromSubscriber) -> Result<(), Stop> {
        match timeout(self.link.options.feeder_timeout, self.writer.send(message)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(Stop),
        }
    }
}

/// One message; the reader comes back with it, so that waiting can go on over several turns of a loop.
async fn receive(mut reader: FrameReader) -> (FrameReader, Result<ToSubscriber, TransportError>) {
    let message = reader.next().await;
    (reader, message)
}
