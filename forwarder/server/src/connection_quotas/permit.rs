//! A connection's permit in the quota of its pool.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use plankhill_connection_quotas::language::PoolId;
use plankhill_connection_quotas::local::{Admission, ConnectionUse};
use plankhill_decisions::interface::TargetId;

use super::{now, ConnectionQuotas};
use crate::call_kind::CallKind;
use crate::clock::to_ms;

/// The pool in which a permit is counted.
struct Counted {
    quotas: Rc<ConnectionQuotas>,
    pool: PoolId,
}

/// Permit for one connection, released when it is dropped. An owner of both has to drop the
/// connection first.
pub struct Permit {
    /// `None` if no quota applies.
    counted: RefCell<Option<Counted>>,
    target: TargetId,
    /// `None` while the connection is idle.
    used_for: Cell<Option<ConnectionUse>>,
}

/// Result of [`ConnectionQuotas::acquire`].
pub enum Acquired {
    /// A permit for a new connection.
    New(Permit),
    /// The permit of the reused connection is marked as in use.
    Reused,
    /// The pool has no capacity now.
    Exhausted(PoolId),
}

impl Permit {
    /// Creates a permit to which no quota applies.
    pub fn unlimited(target: &TargetId) -> Permit {
        Permit {
            counted: RefCell::new(None),
            target: target.clone(),
            used_for: Cell::new(None),
        }
    }

    /// Takes the permit from its connection, and leaves an unlimited one in its place.
    pub fn take(&mut self, target: &TargetId) -> Permit {
        std::mem::replace(self, Permit::unlimited(target))
    }

    /// Marks the connection as idle. Returns false if it has to be closed.
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
    /// Changes the number of idle connections to a target.
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

    /// Acquires a permit for a call that ends by `deadline`: `lent`, the permit of the idle
    /// connection that the call reuses, or one for a new connection.
    pub fn acquire(
        self: &Rc<Self>,
        target: &TargetId,
        kind: CallKind,
        deadline: Instant,
        lent: Option<&Permit>,
    ) -> Acquired {
        let used_for = match kind {
            CallKind::Attempt => self.event_use(),
            CallKind::HealthCheck => ConnectionUse::Trial,
        };
        let time_left = to_ms(deadline.saturating_duration_since(Instant::now()));
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
            Admission::Unlimited if lent.is_some() => return Acquired::Reused,
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
                // The policy has changed, and assigns the connection to another pool.
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
        Acquired::Reused
    }

    /// Waits until there may be capacity. If idle connections use the last capacity of the pool,
    /// one of them is closed.
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
