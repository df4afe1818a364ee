//! One target: its actor owns the connections to it, lends one to each call and takes it back. It lives
//! while there is something for it to own: it starts with a call and ends once the last connection is closed
//! and no call is out, so that a target at rest costs an entry in a table.

mod call;
mod meaning;
mod writing;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, WeakSender};
use plankhill_decisions::interface::*;
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_hot_restart::Word;

pub use self::call::Reach;
use self::call::{Call, Kept};
use crate::budgets::Place;
use crate::clock::millis;
use crate::counted::Counted;
use crate::exchange::{is_quiet, until, Stream};
use crate::mail::{CameIn, Returned, ToTarget};

/// As many connections stand idle at all targets at most.
pub fn most_idle(told: &ForwarderConfig) -> usize {
    told.max_sockets / 8
}

struct Idle {
    // Closed before its place is given back.
    stream: Stream,
    place: Place,
    since: Instant,
    _counted: Counted,
}

/// How long an actor without a connection waits for its next call, or looks again whether one is still out:
/// past the pings of a target that is down.
const AT_REST: Duration = Duration::from_secs(3);

pub async fn run(
    reach: Reach,
    id: TargetId,
    mut address: SocketAddr,
    mailbox: Receiver<ToTarget>,
    own: WeakSender<ToTarget>,
) {
    let mut idle: Vec<Idle> = Vec::new(); // the one used last is last
    let (mut unwritten, mut taken_back) = async_channel::bounded::<()>(1);
    let limit = millis(reach.common.told.idle_timeout);
    let out = Rc::new(Cell::new(0)); // calls
    if let Some(budgets) = &reach.common.budgets {
        let own = own.clone();
        budgets.actor(&id, move |some| {
            own.upgrade()
                .is_some_and(|own| own.try_send(ToTarget::CloseSome(some)).is_ok())
        });
    }
    loop {
        let oldest = idle.first().map(|idle| idle.since + limit);
        let next = until(
            oldest.unwrap_or_else(|| Instant::now() + AT_REST),
            mailbox.recv(),
        )
        .await;
        let Some(next) = next else {
            if oldest.is_some() {
                idle.remove(0);
            } else if out.get() == 0 && mailbox.is_empty() {
                // Closed here, with nothing awaited since it was seen empty: no word can be lost in it.
                mailbox.close();
                if let Some(budgets) = &reach.common.budgets {
                    budgets.actor_ended(&id);
                }
                let _ = reach.to_rounds.send(CameIn::AtRest(id)).await;
                return;
            }
            continue;
        };
        let Ok(next) = next else { return };
        let send = match next {
            ToTarget::Send(send) => Some(send),
            ToTarget::Ping => None,
            ToTarget::CloseIdle => {
                idle.clear();
                continue;
            }
            ToTarget::TakeBack => {
                drop(unwritten);
                (unwritten, taken_back) = async_channel::bounded(1);
                continue;
            }
            ToTarget::Moved(to) => {
                address = to;
                idle.clear();
                // Another may listen there now: what is not written yet is not to be written there.
                drop(unwritten);
                (unwritten, taken_back) = async_channel::bounded(1);
                continue;
            }
            ToTarget::PassIdle => {
                for Idle { stream, since, .. } in idle.drain(..) {
                    pass(&reach, &id, stream, since).await;
                }
                continue;
            }
            ToTarget::CloseSome(some) => {
                idle.drain(..idle.len().min(some as usize));
                continue;
            }
            ToTarget::Returned(back) => {
                // What is dropped here is closed before its place is given back.
                let Returned {
                    place,
                    to,
                    since,
                    stream,
                } = *back;
                if to != address {
                    continue; // the target has moved while the call was out
                }
                if reach.common.passes.to().is_some() {
                    pass(&reach, &id, stream, since).await;
                } else if let Some(_counted) =
                    Counted::new(&reach.idle, most_idle(&reach.common.told))
                {
                    idle.push(Idle {
                        stream,
                        place,
                        since,
                        _counted,
                    });
                }
                continue;
            }
        };
        let kept = std::iter::from_fn(|| idle.pop()).find(|idle| is_quiet(&idle.stream));
        let call = Call {
            reach: reach.clone(),
            target: id.clone(),
            address,
            kept: kept.map(|Idle { stream, place, .. }| Kept { stream, place }),
            taken_back: taken_back.clone(),
            own: own.clone(),
            _counted: Counted::new(&out, usize::MAX),
        };
        reach.common.executor.spawn(call.run(send)).detach();
    }
}

async fn pass(reach: &Reach, target: &TargetId, stream: Stream, since: Instant) {
    let Some(to) = reach.common.passes.to() else {
        return;
    };
    let age = since.elapsed().as_secs_f64() * 1000.0;
    if let Ok(stream) = stream.into_inner() {
        let _ = to
            .send((
                Word::Idle {
                    target: target.clone(),
                    age,
                },
                Some(stream.into()),
            ))
            .await;
    }
}
