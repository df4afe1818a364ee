//! A connection's permit: its part of its pool's quota.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use plankhill_connection_quotas::language::PoolId;
use plankhill_connection_quotas::local::{Admission, ConnectionUse};
use plankhill_decisions::interface::TargetId;

use super::{now, ConnectionQuotas};
use crate::call_kind::CallKind;
use crate::clock::to_ms;

/// Where a permit is counted.
struct Counted {
    quotas: Rc<ConnectionQuotas>,
    pool: PoolId,
}

/// Given back when it is dropped, so that an owner of both drops the connection first.
pub struct Permit {
    /// None where no quota holds.
    counted: RefCell<Option<Counted>>,
    target: TargetId,
    /// None while the connection is idle.
    used_for: Cell<Option<ConnectionUse>>,
}

/// What a call gets.
pub enum Acquired {
    /// A permit for a new connection.
    New(Permit),
    /// The lent connection's own permit is in use now.
    Lent,
    /// The pool has no capacity now.
    Exhausted(PoolId),
}

impl Permit {
    /// Where no quota holds.
    pub fn unlimited(target: &TargetId) -> Permit {
        Permit {
            counted: RefCell::new(None),
            target: target.clone(),
            used_for: Cell::new(None),
        }
    }

    /// The permit itself, to go on apart from its connection; an unlimited one stays behind.
    pub fn take(&mut self, target: &TargetId) -> Permit {
        std::mem::replace(self, Permit::unlimited(target))
    }

    /// The connection becomes idle. False if it has to be closed.
    pub fn release_idle(&self) -> bool {
        let counted = self.counted.borrow();
        let Some(Counted { quotas, pool }) = counted.as_ref() else {
            return true;
        };
        let Some(used_for) = self.used_for.take() else {
            return true;
        };
        let may_stay = quotas
            .local
            .borrow_mut()
            .release_idle(now(), pool, used_for);
        quotas.change_idle(&self.target, pool, 1);
        quotas.wake_first(pool);
        may_stay
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(Counted { quotas, pool }) = self.counted.take() else {
            return;
        };
        let used_for = self.used_for.take();
        if used_for.is_none() {
            quotas.change_idle(&self.target, &pool, -1);
        }
        quotas
            .local
            .borrow_mut()
            .connection_closed(now(), &pool, used_for);
        quotas.wake_first(&pool);
    }
}

impl ConnectionQuotas {
    /// Counts idle connections at a target.
    fn change_idle(&self, target: &TargetId, pool: &PoolId, change: i32) {
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

    /// A permit for a call that is over by `ends`: that of the lent connection, or one for a new connection.
    pub fn acquire(
        self: &Rc<Self>,
        target: &TargetId,
        kind: CallKind,
        ends: Instant,
        lent: Option<&Permit>,
    ) -> Acquired {
        let used_for = match kind {
            CallKind::Attempt => self.event_use(),
            CallKind::HealthCheck => ConnectionUse::Trial,
        };
        let time_left = to_ms(ends.saturating_duration_since(Instant::now()));
        let lent_pool = lent.and_then(Permit::pool);
        let at = now();
        let admission = self.local.borrow_mut().acquire(
            at,
            at + time_left,
            &target.0,
            used_for,
            lent_pool.as_ref(),
        );
        let pool = match admission {
            Admission::Unlimited if lent.is_some() => return Acquired::Lent,
            Admission::Unlimited => return Acquired::New(Permit::unlimited(target)),
            Admission::Exhausted(pool) => return Acquired::Exhausted(pool),
            Admission::Admitted(pool) => pool,
        };
        let Some(lent) = lent else {
            return Acquired::New(Permit {
                counted: RefCell::new(Some(Counted {
                    quotas: self.clone(),
                    pool,
                })),
                target: target.clone(),
                used_for: Cell::new(Some(used_for)),
            });
        };
        if let Some(lent_pool) = &lent_pool {
            self.change_idle(target, lent_pool, -1);
            if *lent_pool != pool {
                // Another policy counts the connection in another pool.
                self.local
                    .borrow_mut()
                    .connection_closed(at, lent_pool, None);
            }
        }
        *lent.counted.borrow_mut() = Some(Counted {
            quotas: self.clone(),
            pool,
        });
        lent.used_for.set(Some(used_for));
        Acquired::Lent
    }

    /// Waits until there may be capacity. An idle connection elsewhere that takes the last of it is closed.
    pub async fn capacity_freed(&self, pool: &PoolId) {
        if self.local.borrow().is_exhausted(now(), pool) {
            self.close_idle(pool, 1);
        }
        let woken = self.enqueue(pool);
        let _ = woken.recv().await;
    }
}

impl Permit {
    fn pool(&self) -> Option<PoolId> {
        self.counted
            .borrow()
            .as_ref()
            .map(|counted| counted.pool.clone())
    }
}
