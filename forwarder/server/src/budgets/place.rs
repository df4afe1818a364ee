//! A connection's place in its pool.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use plankhill_connection_quotas::language::PoolId;
use plankhill_connection_quotas::local::{Admission, ConnectionUse};
use plankhill_decisions::interface::*;

use super::{now, Budgets};

/// Given back when it is dropped, so that what owns both drops the connection first.
pub struct Place {
    counted: RefCell<Option<(Rc<Budgets>, PoolId)>>,
    target: TargetId,
    /// None while the connection stands idle.
    used: Cell<Option<ConnectionUse>>,
}

impl Place {
    /// Where no budget holds.
    pub fn free(target: &TargetId) -> Place {
        Place {
            counted: RefCell::new(None),
            target: target.clone(),
            used: Cell::new(None),
        }
    }

    /// The place itself, to go on apart from its connection; a free one stays behind.
    pub fn take(&mut self, target: &TargetId) -> Place {
        std::mem::replace(self, Place::free(target))
    }

    /// The connection's use is over. False if it has to be closed.
    pub fn rests(&self) -> bool {
        let counted = self.counted.borrow();
        let Some((budgets, pool)) = counted.as_ref() else {
            return true;
        };
        let Some(what) = self.used.take() else {
            return true;
        };
        let stays = budgets.local.borrow_mut().release_idle(now(), pool, what);
        budgets.idle(&self.target, pool, 1);
        budgets.wake(pool);
        stays
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let Some((budgets, pool)) = self.counted.take() else {
            return;
        };
        let used = self.used.take();
        if used.is_none() {
            budgets.idle(&self.target, &pool, -1);
        }
        budgets
            .local
            .borrow_mut()
            .connection_closed(now(), &pool, used);
        budgets.wake(&pool);
    }
}

impl Budgets {
    /// Connections that stand idle at a target.
    fn idle(&self, target: &TargetId, pool: &PoolId, change: i32) {
        let mut actors = self.actors.borrow_mut();
        let Some(actor) = actors.get_mut(target) else {
            return;
        };
        let count = actor.idle.entry(pool.clone()).or_default();
        *count = count.saturating_add_signed(change);
        if *count == 0 {
            actor.idle.remove(pool);
        }
    }

    /// A place for a call, or a ping, that is over by `ends`: that of an idle connection, or a new one. None,
    /// with the pool, if there is no room there now.
    pub fn enter(
        self: &Rc<Self>,
        target: &TargetId,
        ping: bool,
        ends: Instant,
        kept: Option<&Place>,
    ) -> Result<Option<Place>, PoolId> {
        let what = if ping {
            ConnectionUse::Trial
        } else {
            self.event()
        };
        let left = ends.saturating_duration_since(Instant::now()).as_secs_f64() * 1e3;
        let from = kept.and_then(|kept| Some(kept.counted.borrow().as_ref()?.1.clone()));
        let at = now();
        let entry = self
            .local
            .borrow_mut()
            .acquire(at, at + left, &target.0, what, from.as_ref());
        match entry {
            Admission::Unlimited => Ok(kept.is_none().then(|| Place::free(target))),
            Admission::Exhausted(pool) => Err(pool),
            Admission::Admitted(pool) => {
                let counted = Some((self.clone(), pool.clone()));
                let Some(kept) = kept else {
                    let (target, used) = (target.clone(), Cell::new(Some(what)));
                    return Ok(Some(Place {
                        counted: RefCell::new(counted),
                        target,
                        used,
                    }));
                };
                if let Some(from) = &from {
                    self.idle(target, from, -1);
                    if *from != pool {
                        // Another policy counts it elsewhere.
                        self.local.borrow_mut().connection_closed(at, from, None);
                    }
                }
                *kept.counted.borrow_mut() = counted;
                kept.used.set(Some(what));
                Ok(None)
            }
        }
    }

    /// Waits until there may be room. An idle connection that takes the last place elsewhere is closed.
    pub async fn room(&self, pool: &PoolId) {
        if self.local.borrow().is_exhausted(now(), pool) {
            self.close(pool, 1);
        }
        let woken = self.waits(pool);
        let _ = woken.recv().await;
    }
}
