//! Connection quotas, where the fleet file names a policy: each connection has a permit in its
//! target's pool from before it is opened until it is closed. Where there is none a call waits, and
//! ends as not sent if none comes free. What there is capacity for is decided in
//! `plankhill-connection-quotas`; nothing about an event is decided here.
//!
//! Shared by the targets' actors and calls ([`permit`]), the event loop (which reports targets) and
//! [`ticker`]; [`control_group`] speaks with the fleet's control group.

pub mod control;
mod control_group;
mod permit;
pub mod ticker;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use plankhill_connection_quotas::language::{Facts, PoolId, OTHERS};
use plankhill_connection_quotas::leases::{Instance, MemberIncarnation};
use plankhill_connection_quotas::local::{ConnectionUse, LocalQuotas, LocalQuotasConfig};
use plankhill_decisions::interface::{EndpointState, Ms, TargetId};
use plankhill_forwarder_config::pools::QuotaPolicySource;
use plankhill_forwarder_config::ForwarderConfig;
use plankhill_raft_groups::Incarnation;
use rustix::time::{clock_gettime, ClockId};

use self::control_group::Proposals;
pub use self::permit::{Acquired, Permit};
use crate::endpoint_page::Endpoint;

pub struct ConnectionQuotas {
    local: RefCell<LocalQuotas>,
    /// Calls that wait for a permit, the longest wait first.
    waiting: RefCell<BTreeMap<PoolId, VecDeque<Sender<()>>>>,
    actors: RefCell<HashMap<TargetId, ActorConnections>>,
    proposals: RefCell<Proposals>,
}

/// Idle connections of one target's actor.
#[derive(Default)]
struct ActorConnections {
    /// Has so many closed; false if the actor has ended.
    close_surplus: Option<Box<dyn Fn(u32) -> bool>>,
    idle: BTreeMap<PoolId, u32>,
}

/// Milliseconds since the machine's start, its sleep counted: a lease ends while a machine sleeps.
fn now() -> Ms {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

impl ConnectionQuotas {
    /// None where no policy is named. `max_stall`: after so many milliseconds the watchdog has
    /// ended a process that stands still.
    pub fn start(
        config: &ForwarderConfig,
        incarnation: Incarnation,
        max_stall: Ms,
    ) -> Option<Rc<ConnectionQuotas>> {
        let fleet = config.fleet.as_ref()?;
        let source = config.connection_quotas.as_ref()?;
        let instances = fleet
            .instances
            .iter()
            .map(|instance| (Instance(instance.name.clone()), instance.zone.clone()))
            .collect();
        // No other process may use what this one is granted: the time of the start tells it from
        // others of the folder.
        let start_us = (now() * 1e3) as u64;
        let local = LocalQuotas::new(LocalQuotasConfig {
            instance: Instance(config.name.clone()),
            incarnation: MemberIncarnation(incarnation.0.rotate_left(20) ^ start_us),
            text: source.text.clone(),
            policy: source.policy.clone(),
            instances,
            grace: max_stall,
        });
        Some(Rc::new(ConnectionQuotas {
            local: RefCell::new(local),
            waiting: RefCell::default(),
            actors: RefCell::default(),
            proposals: RefCell::default(),
        }))
    }

    /// A policy that was reloaded and found sound. It is in force once the fleet has agreed on it.
    pub fn set_policy(&self, source: &QuotaPolicySource) {
        let mut local = self.local.borrow_mut();
        local.set_policy(source.text.clone(), source.policy.clone());
    }

    pub fn upsert_target(&self, config: &ForwarderConfig, endpoint: &Endpoint) {
        self.local.borrow_mut().upsert_target(Facts {
            target: endpoint.target.0.to_string(),
            destination: endpoint.destination.0,
            kind: config.names.kinds[endpoint.kind.0].clone(),
            zone: config.names.zones[endpoint.zone.0].clone(),
            cold: false,
            draining: endpoint.state != EndpointState::Running,
        });
    }

    pub fn remove_target(&self, target: &TargetId) {
        self.local.borrow_mut().remove_target(&target.0);
    }

    /// The target warms up for so many milliseconds yet.
    pub fn set_warming_up(&self, target: &TargetId, remaining: Ms) {
        self.local
            .borrow_mut()
            .set_warming_up(&target.0, now() + remaining);
    }

    /// A target's actor begins: `close_surplus` has so many of its idle connections closed, and is
    /// false once the actor has ended.
    pub fn actor_started(&self, target: &TargetId, close_surplus: impl Fn(u32) -> bool + 'static) {
        let mut actors = self.actors.borrow_mut();
        let actor = actors.entry(target.clone()).or_default();
        actor.close_surplus = Some(Box::new(close_surplus));
    }

    /// A target's actor ends, and owns no connection any more.
    pub fn actor_stopped(&self, target: &TargetId) {
        self.actors.borrow_mut().remove(target);
    }

    fn enqueue(&self, pool: &PoolId) -> Receiver<()> {
        let (wake, woken) = async_channel::bounded(1);
        self.waiting
            .borrow_mut()
            .entry(pool.clone())
            .or_default()
            .push_back(wake);
        woken
    }

    /// The call that waits longest may look again, if there is capacity.
    fn wake_first(&self, pool: &PoolId) {
        if !self.local.borrow().has_capacity(now(), pool) {
            return;
        }
        let mut waiting = self.waiting.borrow_mut();
        let Some(queue) = waiting.get_mut(pool) else {
            return;
        };
        // Calls that have ended meanwhile are skipped.
        while let Some(first) = queue.pop_front() {
            if first.try_send(()).is_ok() {
                break;
            }
        }
        if queue.is_empty() {
            waiting.remove(pool);
        }
    }

    /// Has surplus idle connections closed, where most of them are first.
    fn close_idle(&self, pool: &PoolId, mut surplus: u32) {
        let mut actors = self.actors.borrow_mut();
        let mut with_idle: Vec<(&TargetId, &mut ActorConnections)> = actors
            .iter_mut()
            .filter(|(_, actor)| actor.idle.contains_key(pool))
            .collect();
        with_idle.sort_by(|a, b| b.1.idle[pool].cmp(&a.1.idle[pool]).then(a.0.cmp(b.0)));
        for (_, actor) in with_idle {
            let closing = surplus.min(actor.idle[pool]);
            let Some(close_surplus) = &actor.close_surplus else {
                continue;
            };
            if closing > 0 && close_surplus(closing) {
                surplus -= closing;
            }
        }
    }

    /// No client names a member yet: all events are those of others.
    fn event_use(&self) -> ConnectionUse {
        ConnectionUse::Event(self.local.borrow().member(OTHERS))
    }
}
