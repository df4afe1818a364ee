//! Budgets of connections where a policy is named: each connection has a place in its target's pool from before
//! it is opened until it is closed. Where there is none a call waits, and ends as not sent if none comes free.
//! What there is room for is worked out in `plankhill-connection-quotas`; nothing about an event is decided here.

pub mod control;
mod group;
mod place;
pub mod ticking;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use plankhill_connection_quotas::language::{Facts, PoolId};
use plankhill_connection_quotas::leases::{Instance, MemberIncarnation};
use plankhill_connection_quotas::local::{ConnectionUse, LocalQuotas, LocalQuotasConfig};
use plankhill_decisions::interface::*;
use plankhill_forwarder_config::pools::QuotaPolicySource;
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_raft_groups::Incarnation;
use rustix::time::{clock_gettime, ClockId};

use self::group::Proposals;
pub use self::place::Place;

pub struct Budgets {
    local: RefCell<LocalQuotas>,
    /// Who waits for a place, the longest wait first.
    waiting: RefCell<BTreeMap<PoolId, VecDeque<Sender<()>>>>,
    /// Actors of targets, with the connections that stand idle there.
    actors: RefCell<HashMap<TargetId, Actor>>,
    proposals: RefCell<Proposals>,
}

#[derive(Default)]
struct Actor {
    /// Has so many closed; false if the actor has ended.
    closes: Option<Box<dyn Fn(u32) -> bool>>,
    idle: BTreeMap<PoolId, u32>,
}

/// Milliseconds since the machine's start, its sleep counted: a lease ends while a machine sleeps.
fn now() -> Ms {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

impl Budgets {
    /// None where no policy is named. `grace`: after so many milliseconds the kernel has ended a process that
    /// stands still.
    pub fn start(
        told: &ForwarderConfig,
        incarnation: Incarnation,
        grace: Ms,
    ) -> Option<Rc<Budgets>> {
        let (fleet, pools) = told.fleet.as_ref().zip(told.connection_quotas.as_ref())?;
        let instances = fleet
            .instances
            .iter()
            .map(|it| (Instance(it.name.clone()), it.zone.clone()));
        // What this start is given no other may use: the time of the start tells it from others of the folder.
        let life = MemberIncarnation(incarnation.0.rotate_left(20) ^ (now() * 1e3) as u64);
        let local = LocalQuotas::new(LocalQuotasConfig {
            instance: Instance(told.name.clone()),
            life,
            text: pools.text.clone(),
            policy: pools.policy.clone(),
            instances: instances.collect(),
            grace,
        });
        Some(Rc::new(Budgets {
            local: RefCell::new(local),
            waiting: RefCell::default(),
            actors: RefCell::default(),
            proposals: RefCell::default(),
        }))
    }

    /// A policy that was read again and found sound. It is in force once the fleet has agreed on it.
    pub fn told(&self, pools: &QuotaPolicySource) {
        self.local
            .borrow_mut()
            .set_policy(pools.text.clone(), pools.policy.clone());
    }

    pub fn listed(
        &self,
        told: &ForwarderConfig,
        target: &TargetId,
        at: (DestinationId, DestinationKindId, ZoneId),
        listing: EndpointState,
    ) {
        let (destination, kind, zone) = at;
        self.local.borrow_mut().upsert_target(Facts {
            target: target.0.to_string(),
            destination: destination.0,
            kind: told.names.kinds[kind.0].clone(),
            zone: told.names.zones[zone.0].clone(),
            cold: false,
            draining: listing != EndpointState::Running,
        });
    }

    pub fn gone(&self, target: &TargetId) {
        self.local.borrow_mut().remove_target(&target.0);
    }

    /// It is warming up for so long yet.
    pub fn cold(&self, target: &TargetId, yet: Ms) {
        self.local
            .borrow_mut()
            .set_warming_up(&target.0, now() + yet);
    }

    /// A target's actor begins: it is told to close what is idle and over.
    pub fn actor(&self, target: &TargetId, closes: impl Fn(u32) -> bool + 'static) {
        self.actors
            .borrow_mut()
            .entry(target.clone())
            .or_default()
            .closes = Some(Box::new(closes));
    }

    /// It ends, and owns no connection any more.
    pub fn actor_ended(&self, target: &TargetId) {
        self.actors.borrow_mut().remove(target);
    }

    fn waits(&self, pool: &PoolId) -> Receiver<()> {
        let (wakes, woken) = async_channel::bounded(1);
        self.waiting
            .borrow_mut()
            .entry(pool.clone())
            .or_default()
            .push_back(wakes);
        woken
    }

    /// One who waits may look again, if there is room.
    fn wake(&self, pool: &PoolId) {
        if !self.local.borrow().has_capacity(now(), pool) {
            return;
        }
        let mut waiting = self.waiting.borrow_mut();
        let Some(queue) = waiting.get_mut(pool) else {
            return;
        };
        // Who has gone meanwhile is passed over.
        while let Some(first) = queue.pop_front() {
            if first.try_send(()).is_ok() {
                break;
            }
        }
        if queue.is_empty() {
            waiting.remove(pool);
        }
    }

    /// Has what is idle and over closed, where most of it stands first.
    fn close(&self, pool: &PoolId, mut surplus: u32) {
        let mut actors = self.actors.borrow_mut();
        let mut there: Vec<(&TargetId, &mut Actor)> = actors
            .iter_mut()
            .filter(|(_, actor)| actor.idle.contains_key(pool))
            .collect();
        there.sort_by(|a, b| b.1.idle[pool].cmp(&a.1.idle[pool]).then(a.0.cmp(b.0)));
        for (_, actor) in there {
            let some = surplus.min(actor.idle[pool]);
            if some > 0 && actor.closes.as_ref().is_some_and(|closes| closes(some)) {
                surplus -= some;
            }
        }
    }

    fn event(&self) -> ConnectionUse {
        // No client names a member yet: all events are those of others.
        ConnectionUse::Event(
            self.local
                .borrow()
                .member(plankhill_connection_quotas::language::OTHERS),
        )
    }
}
