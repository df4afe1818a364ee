//! The task of a subscription: goes from feeder to feeder.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use tokio::sync::{mpsc, watch};

use super::exchange::{Ended, Exchange};
use super::{LinkStanding, Order, Rotation, SubscriptionOptions};
use crate::feed::FromSubscriber;
use crate::tables::Tables;
use crate::transport::{dial, Connection, TransportError};

/// Feeders learnt from a feeder that are kept.
const MOST_FEEDERS: usize = 64;

/// The state of a subscription's task.
pub(super) struct Link {
    pub(super) options: SubscriptionOptions,
    pub(super) tables: watch::Sender<Arc<Tables>>,
    pub(super) orders: mpsc::Receiver<Order>,
    standing: watch::Sender<LinkStanding>,
    learnt: Vec<SocketAddr>,
}

impl Link {
    pub(super) fn new(
        options: SubscriptionOptions,
        tables: watch::Sender<Arc<Tables>>,
        standing: watch::Sender<LinkStanding>,
        orders: mpsc::Receiver<Order>,
    ) -> Self {
        Link { options, tables, standing, orders, learnt: Vec::new() }
    }

    /// Runs until the owner drops the subscription.
    pub(super) async fn run(mut self) {
        let mut rotation = Rotation::new(&self.options.hello.node);
        while !self.orders.is_closed() {
            let candidates = self.candidates();
            let ended = match rotation.next(&candidates) {
                Some(address) => self.follow(address, candidates.len()).await,
                None => Ended::Feeder { useful: false },
            };
            self.stand(false, false, None);
            match ended {
                Ended::Owner => return,
                Ended::Feeder { useful: true } => rotation.useful(),
                Ended::Feeder { useful: false } => {
                    tokio::time::sleep(rotation.useless(candidates.len())).await;
                }
            }
        }
    }

    /// Feeders to try besides those of the owner.
    pub(super) fn learn(&mut self, mut feeders: Vec<SocketAddr>) {
        feeders.truncate(MOST_FEEDERS);
        self.learnt = feeders;
    }

    /// Publishes how the connection stands.
    pub(super) fn stand(&self, current: bool, by_home: bool, address: Option<SocketAddr>) {
        self.standing.send_if_modified(|standing| {
            let next = LinkStanding { current, by_home, address, ..*standing };
            let modified = *standing != next;
            if modified {
                *standing = LinkStanding { since: Instant::now(), ..next };
            }
            modified
        });
    }

    /// The tables are known to be current now.
    pub(super) fn confirm(&self) {
        self.standing.send_if_modified(|standing| {
            standing.confirmed = Some(Instant::now());
            false
        });
    }

    fn candidates(&self) -> Vec<SocketAddr> {
        let mut candidates = self.options.candidates.borrow().clone();
        candidates.extend(&self.learnt);
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    /// One connection, from dialing to its end.
    async fn follow(&mut self, address: SocketAddr, candidates: usize) -> Ended {
        match self.subscribe(address).await {
            Ok(connection) => {
                tracing::info!(%address, "subscribed");
                Exchange::new(self, connection.writer, address, candidates > 1).run(connection.reader).await
            }
            Err(error) => {
                tracing::debug!(%address, %error, "feeder not reached");
                Ended::Feeder { useful: false }
            }
        }
    }

    async fn subscribe(&self, address: SocketAddr) -> Result<Connection, TransportError> {
        let mut connection = dial(address, &self.options.hello).await?;
        let held = self.tables.borrow().revision;
        let subscriber = self.options.subscriber.clone();
        connection.writer.send(&FromSubscriber::Subscribe { subscriber, held }).await?;
        Ok(connection)
    }
}
