//! The task of a subscription: goes from feeder to feeder.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::exchange::{Ended, Exchange};
use super::{LinkStatus, Order, Rotation, SubscriptionOptions};
use crate::feed::FromSubscriber;
use crate::tables::Tables;
use crate::transport::{dial, Connection, Hello, TransportError};

/// Feeders learnt from a feeder that are kept.
const MOST_FEEDERS: usize = 64;
/// A candidate that has not answered after this time is given company: many times the way there and back.
const STAGGER: Duration = Duration::from_millis(150);
/// Candidates dialed at once at most.
const DIALS_AT_ONCE: usize = 4;

/// The state of a subscription's task.
pub(super) struct Link {
    pub(super) options: SubscriptionOptions,
    pub(super) tables: watch::Sender<Arc<Tables>>,
    pub(super) orders: mpsc::Receiver<Order>,
    standing: watch::Sender<LinkStatus>,
    learnt: Vec<SocketAddr>,
}

impl Link {
    pub(super) fn new(
        options: SubscriptionOptions,
        tables: watch::Sender<Arc<Tables>>,
        standing: watch::Sender<LinkStatus>,
        orders: mpsc::Receiver<Order>,
    ) -> Self {
        Link {
            options,
            tables,
            standing,
            orders,
            learnt: Vec::new(),
        }
    }

    /// Runs until the owner drops the subscription.
    pub(super) async fn run(mut self) {
        let mut rotation = Rotation::new(&self.options.hello.node);
        while !self.orders.is_closed() {
            let Some(connection) = self.connect(&mut rotation).await else {
                return;
            };
            let patience = rotation.pause(self.candidates().len());
            let ended = self.follow(connection, patience).await;
            self.stand(false, false, None);
            match ended {
                Ended::Owner => return,
                Ended::Useful => rotation.useful(),
                Ended::Useless => {
                    tokio::time::sleep(rotation.useless(self.candidates().len())).await
                }
                // The pause was spent with this feeder.
                Ended::NotCurrent => drop(rotation.useless(self.candidates().len())),
            }
        }
    }

    /// The first connection that comes up; None when the owner has dropped the subscription. A machine without
    /// power says nothing, so the next candidate is dialed while the last has not answered.
    async fn connect(&mut self, rotation: &mut Rotation) -> Option<Connection> {
        let mut dials = JoinSet::new();
        let mut next = Instant::now();
        while !self.orders.is_closed() {
            let at_once = self.candidates().len().clamp(1, DIALS_AT_ONCE);
            tokio::select! {
                biased;
                Some(dialed) = dials.join_next() => match dialed {
                    Ok(Ok(connection)) => return Some(connection),
                    _ => next = Instant::now() + rotation.unreached(self.candidates().len()),
                },
                () = tokio::time::sleep_until(next.into()), if dials.len() < at_once => {
                    let candidates = self.candidates();
                    match rotation.next(&candidates) {
                        Some(address) => {
                            dials.spawn_local(dial_feeder(address, self.options.hello.clone()));
                            next = Instant::now() + STAGGER;
                        }
                        None => next = Instant::now() + rotation.useless(0),
                    }
                }
            }
        }
        None
    }

    /// Feeders to try besides those of the owner.
    pub(super) fn learn(&mut self, mut feeders: Vec<SocketAddr>) {
        feeders.truncate(MOST_FEEDERS);
        self.learnt = feeders;
    }

    /// Publishes how the connection stands.
    pub(super) fn stand(&self, current: bool, by_home: bool, address: Option<SocketAddr>) {
        self.standing.send_if_modified(|standing| {
            let next = LinkStatus {
                current,
                follows_home: by_home,
                address,
                ..*standing
            };
            let modified = *standing != next;
            if modified {
                *standing = LinkStatus {
                    changed_at: Instant::now(),
                    ..next
                };
            }
            modified
        });
    }

    /// The tables are known to be current now.
    pub(super) fn confirm(&self) {
        self.standing.send_if_modified(|standing| {
            standing.confirmed_at = Some(Instant::now());
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

    /// One connection, from its first message to its end. A feeder that is not current may become so within `patience`.
    async fn follow(&mut self, connection: Connection, patience: Duration) -> Ended {
        let Connection {
            address,
            reader,
            mut writer,
            ..
        } = connection;
        let held = self.tables.borrow().revision;
        let subscriber = self.options.subscriber.clone();
        if writer
            .send(&FromSubscriber::Subscribe {
                subscriber,
                held_revision: held,
            })
            .await
            .is_err()
        {
            return Ended::Useless;
        }
        tracing::info!(%address, "subscribed");
        let patience = (self.candidates().len() > 1).then_some(patience);
        Exchange::new(self, writer, address, patience)
            .run(reader)
            .await
    }
}

async fn dial_feeder(address: SocketAddr, hello: Hello) -> Result<Connection, TransportError> {
    let dialed = dial(address, &hello).await;
    if let Err(error) = &dialed {
        tracing::debug!(%address, %error, "feeder not reached");
    }
    dialed
}
