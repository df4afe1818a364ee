//! The task of a subscription: connects to one feeder after the other, and publishes the tables and
//! the status that the owner of the [`super::Subscription`] reads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::session::{Session, SessionEnd};
use super::{Command, LinkStatus, Rotation, SubscriptionOptions};
use crate::feed::FromSubscriber;
use crate::tables::Tables;
use crate::transport::{dial, Connection, Hello, TransportError};

/// Maximum number of advertised feeders that are stored.
const MAX_ADVERTISED_FEEDERS: usize = 64;
/// Interval after which the next candidate is dialed in parallel if the previous one has not
/// answered: many times the round-trip time.
const DIAL_STAGGER_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of concurrent dials.
const MAX_CONCURRENT_DIALS: usize = 4;

/// The fields of [`LinkStatus`] that a session reports; the task maintains the other fields.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkState {
    pub(super) current: bool,
    pub(super) follows_home: bool,
    pub(super) address: Option<SocketAddr>,
}

/// The state of a subscription's task.
pub(super) struct SubscriptionTask {
    pub(super) options: SubscriptionOptions,
    pub(super) tables: watch::Sender<Arc<Tables>>,
    pub(super) commands: mpsc::Receiver<Command>,
    status: watch::Sender<LinkStatus>,
    /// The feeders that a feeder advertised last.
    advertised_feeders: Vec<SocketAddr>,
}

impl SubscriptionTask {
    pub(super) fn new(
        options: SubscriptionOptions,
        tables: watch::Sender<Arc<Tables>>,
        status: watch::Sender<LinkStatus>,
        commands: mpsc::Receiver<Command>,
    ) -> Self {
        SubscriptionTask {
            options,
            tables,
            commands,
            status,
            advertised_feeders: Vec::new(),
        }
    }

    /// Runs until the owner drops the subscription.
    pub(super) async fn run(mut self) {
        let mut rotation = Rotation::new(&self.options.hello.node);
        while !self.commands.is_closed() {
            let Some(connection) = self.connect(&mut rotation).await else {
                return;
            };
            let stale_timeout = rotation.backoff(self.candidates().len());
            let end = self.run_session(connection, stale_timeout).await;
            self.publish_status(LinkState::default());
            match end {
                SessionEnd::SubscriptionDropped => return,
                SessionEnd::Served => rotation.record_success(),
                SessionEnd::NeverCurrent => {
                    let backoff = rotation.record_failure(self.candidates().len());
                    tokio::time::sleep(backoff).await;
                }
                SessionEnd::StayedStale => {
                    // No sleep is needed: the session has lasted as long as the backoff.
                    rotation.record_failure(self.candidates().len());
                }
            }
        }
    }

    /// Dials candidates and returns the first established connection; `None` if the owner has
    /// dropped the subscription. A machine without power does not answer at all, so that the next
    /// candidate is dialed before the previous one has answered.
    async fn connect(&mut self, rotation: &mut Rotation) -> Option<Connection> {
        let mut dials = JoinSet::new();
        let mut next_dial = Instant::now();
        while !self.commands.is_closed() {
            let max_dials = self.candidates().len().clamp(1, MAX_CONCURRENT_DIALS);
            tokio::select! {
                biased;
                Some(dialed) = dials.join_next() => match dialed {
                    Ok(Ok(connection)) => return Some(connection),
                    _ => {
                        let backoff = rotation.record_unreachable(self.candidates().len());
                        next_dial = Instant::now() + backoff;
                    }
                },
                () = tokio::time::sleep_until(next_dial.into()), if dials.len() < max_dials => {
                    match rotation.next_candidate(&self.candidates()) {
                        Some(address) => {
                            dials.spawn_local(dial_feeder(address, self.options.hello.clone()));
                            next_dial = Instant::now() + DIAL_STAGGER_INTERVAL;
                        }
                        None => next_dial = Instant::now() + rotation.record_failure(0),
                    }
                }
            }
        }
        None
    }

    /// Stores the feeders that a feeder advertised, which replace those advertised before.
    pub(super) fn set_advertised_feeders(&mut self, mut feeders: Vec<SocketAddr>) {
        feeders.truncate(MAX_ADVERTISED_FEEDERS);
        self.advertised_feeders = feeders;
    }

    /// Publishes the state of the connection, and notifies the watchers if the state has changed.
    pub(super) fn publish_status(&self, state: LinkState) {
        let LinkState {
            current,
            follows_home,
            address,
        } = state;
        self.status.send_if_modified(|status| {
            let next = LinkStatus {
                current,
                follows_home,
                address,
                ..*status
            };
            let modified = *status != next;
            if modified {
                *status = LinkStatus {
                    changed_at: Instant::now(),
                    ..next
                };
            }
            modified
        });
    }

    /// Records that the tables are current now, without notifying the watchers.
    pub(super) fn confirm_tables(&self) {
        self.status.send_if_modified(|status| {
            status.confirmed_at = Some(Instant::now());
            false
        });
    }

    /// Returns the owner's candidates and the advertised feeders, sorted by address.
    fn candidates(&self) -> Vec<SocketAddr> {
        let mut candidates = self.options.candidates.borrow().clone();
        candidates.extend(&self.advertised_feeders);
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    /// Subscribes on a new connection and runs the session until it ends. If there is another
    /// candidate, the feeder has to become current within `stale_timeout`.
    async fn run_session(&mut self, connection: Connection, stale_timeout: Duration) -> SessionEnd {
        let Connection {
            address,
            reader,
            mut writer,
            ..
        } = connection;
        let subscribe = FromSubscriber::Subscribe {
            subscriber: self.options.subscriber.clone(),
            held_revision: self.tables.borrow().revision,
        };
        if writer.send(&subscribe).await.is_err() {
            return SessionEnd::NeverCurrent;
        }
        tracing::info!(%address, "subscribed to feeder");
        let has_alternative = self.candidates().len() > 1;
        let stale_timeout = has_alternative.then_some(stale_timeout);
        Session::new(self, writer, address, stale_timeout)
            .run(reader)
            .await
    }
}

async fn dial_feeder(address: SocketAddr, hello: Hello) -> Result<Connection, TransportError> {
    let dialed = dial(address, &hello).await;
    if let Err(error) = &dialed {
        tracing::debug!(%address, %error, "feeder unreachable");
    }
    dialed
}
