//! The task that keeps the connection of a subscription.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, watch};
use tokio::time::timeout;

use super::{LinkStanding, Outgoing, Progress, Rotation, Step, SubscriptionOptions};
use crate::feed::{FromSubscriber, Subscriber, ToSubscriber};
use crate::ids::Revision;
use crate::tables::Tables;
use crate::transport::{dial, Connection, FrameReader, FrameWriter, TransportError};

/// Feeders learnt from a feeder that are kept.
const MOST_FEEDERS: usize = 64;

/// Why a connection ended.
enum Ended {
    /// The owner dropped the subscription.
    Owner,
    /// The feeder is of no more use; `useful` if it was current at some time.
    Feeder { useful: bool },
}

/// The state of a subscription's task.
pub(super) struct Link {
    options: SubscriptionOptions,
    tables: watch::Sender<Arc<Tables>>,
    standing: watch::Sender<LinkStanding>,
    outbox: mpsc::Receiver<Outgoing>,
    learnt: Vec<SocketAddr>,
}

impl Link {
    pub(super) fn new(
        options: SubscriptionOptions,
        tables: watch::Sender<Arc<Tables>>,
        standing: watch::Sender<LinkStanding>,
        outbox: mpsc::Receiver<Outgoing>,
    ) -> Self {
        Link { options, tables, standing, outbox, learnt: Vec::new() }
    }

    /// Runs until the owner drops the subscription.
    pub(super) async fn run(mut self) {
        let mut rotation = Rotation::new(&self.options.hello.node);
        while !self.tables.is_closed() {
            let candidates = self.candidates();
            let ended = match rotation.next(&candidates) {
                Some(address) => self.follow(address, candidates.len()).await,
                None => Ended::Feeder { useful: false },
            };
            self.stand(false, None);
            match ended {
                Ended::Owner => return,
                Ended::Feeder { useful: true } => rotation.useful(),
                Ended::Feeder { useful: false } => {
                    tokio::time::sleep(rotation.useless(candidates.len())).await;
                }
            }
        }
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
        let subscribing = async {
            let mut connection = dial(address, &self.options.hello).await?;
            let held = self.tables.borrow().revision;
            let subscriber = self.options.subscriber.clone();
            connection.writer.send(&FromSubscriber::Subscribe { subscriber, held }).await?;
            Ok::<Connection, TransportError>(connection)
        };
        match subscribing.await {
            Ok(connection) => {
                tracing::info!(%address, "subscribed");
                self.stand(false, Some(address));
                self.exchange(connection, candidates).await
            }
            Err(error) => {
                tracing::debug!(%address, %error, "feeder not reached");
                Ended::Feeder { useful: false }
            }
        }
    }

    async fn exchange(&mut self, connection: Connection, candidates: usize) -> Ended {
        let Connection { address, reader, mut writer, .. } = connection;
        let silence = self.options.silence;
        let mut progress = Progress::default();
        let mut useful = false;
        let mut heard = Instant::now();
        let mut reading = Box::pin(receive(reader));
        loop {
            let sent = tokio::select! {
                biased;
                (reader, message) = &mut reading => {
                    let Ok(message) = message else { return Ended::Feeder { useful } };
                    // This process stood still: what waited in the socket is old.
                    if heard.elapsed() > 2 * silence {
                        return Ended::Feeder { useful };
                    }
                    heard = Instant::now();
                    reading = Box::pin(receive(reader));
                    let mut tables = self.tables.borrow().clone();
                    let step = progress.take(message, &mut tables);
                    useful |= step == Step::Confirmed;
                    if step == Step::Leave && candidates > 1 {
                        tracing::info!(%address, "feeder is not current");
                        return Ended::Feeder { useful };
                    }
                    match self.act(step, tables, address) {
                        Some(answer) => write(&mut writer, &answer, silence).await,
                        None => true,
                    }
                }
                outgoing = self.outbox.recv() => {
                    let Some(outgoing) = outgoing else { return Ended::Owner };
                    let sent = write(&mut writer, &outgoing.message, silence).await;
                    if let (true, Some(written)) = (sent, outgoing.written) {
                        // The owner may have stopped waiting.
                        let _ = written.send(());
                    }
                    sent
                }
                () = tokio::time::sleep_until((heard + silence).into()) => {
                    tracing::info!(%address, "feeder is silent");
                    return Ended::Feeder { useful };
                }
            };
            if !sent {
                return Ended::Feeder { useful };
            }
        }
    }

    /// Publishes what a message brought; the answer to the feeder, if any.
    fn act(&mut self, step: Step, tables: Arc<Tables>, address: SocketAddr) -> Option<FromSubscriber> {
        let revision = tables.revision;
        match step {
            Step::Changed => {
                self.tables.send_replace(tables);
                Some(FromSubscriber::Applied(revision))
            }
            Step::Confirmed => {
                self.stand(true, Some(address));
                self.alive(revision)
            }
            Step::Unconfirmed => self.alive(revision),
            Step::WantsSnapshot => Some(FromSubscriber::WantsSnapshot),
            Step::Feeders(mut addresses) => {
                addresses.truncate(MOST_FEEDERS);
                self.learnt = addresses;
                None
            }
            Step::Leave => {
                self.stand(false, Some(address));
                self.alive(revision)
            }
        }
    }

    /// The answer to a heartbeat. The agent of the same machine needs none: it would only wake both processes.
    fn alive(&self, revision: Revision) -> Option<FromSubscriber> {
        match self.options.subscriber {
            Subscriber::Proxy => None,
            Subscriber::Edge(_) | Subscriber::Store(_) => Some(FromSubscriber::Applied(revision)),
        }
    }

    fn stand(&self, current: bool, address: Option<SocketAddr>) {
        self.standing.send_if_modified(|standing| {
            let now = Instant::now();
            if current {
                standing.confirmed = Some(now);
            }
            let modified = standing.current != current || standing.address != address;
            if modified {
                *standing = LinkStanding { current, since: now, address, ..*standing };
            }
            modified
        });
    }
}

/// One message; the reader comes back with it, so that waiting can go on over several turns of a loop.
async fn receive(mut reader: FrameReader) -> (FrameReader, Result<ToSubscriber, TransportError>) {
    let message = reader.next().await;
    (reader, message)
}

async fn write(writer: &mut FrameWriter, message: &FromSubscriber, limit: Duration) -> bool {
    matches!(timeout(limit, writer.send(message)).await, Ok(Ok(())))
}
