//! Connection quotas, used if the fleet file names a policy: each connection has a permit in its
//! target's pool from before it is opened until it is closed. Without an available permit a call
//! waits, and ends as not sent if none is released in time. `plankhill-connection-quotas` decides
//! on capacity; this module decides nothing about events.
//!
//! Shared by the targets' actors and calls ([`permit`]), the event loop (which reports targets) and
//! [`ticker`]; [`control_group`] communicates with the fleet's control group.

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
    /// Channels that wake the calls that wait for a permit, the longest wait first.
    waiting: RefCell<BTreeMap<PoolId, VecDeque<Sender<()>>>>,
    actors: RefCell<HashMap<TargetId, ActorConnections>>,
    proposals: RefCell<Proposals>,
}

/// Idle connections of one target's actor.
#[derive(Default)]
struct ActorConnections {
    /// Requests that this number of connections is closed; returns false if the actor has ended.
    close_surplus: Option<Box<dyn Fn(u32) -> bool>>,
    /// Number of idle connections in each pool.
    idle: BTreeMap<PoolId, u32>,
}

/// Milliseconds since the machine's boot, including suspend: leases expire while a machine is
/// suspended.
fn now() -> Ms {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

impl ConnectionQuotas {
    /// Returns `None` if no policy is configured. `max_stall` is the time in milliseconds after
    /// which the watchdog has ended a stalled process.
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
        // No other process may use the permits granted to this one: the start time distinguishes it
        // from other processes of the same state folder.
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

    /// Sets a reloaded, valid policy. It takes effect once the fleet has agreed on it.
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

    /// Marks the target as warming up for another `remaining` milliseconds.
    pub fn set_warming_up(&self, target: &TargetId, remaining: Ms) {
        self.local
            .borrow_mut()
            .set_warming_up(&target.0, now() + remaining);
    }

    /// Registers a target's actor: `close_surplus` requests that it closes the given number of idle
    /// connections, and returns false once the actor has ended.
    pub fn actor_started(&self, target: &TargetId, close_surplus: impl Fn(u32) -> bool + 'static) {
        let mut actors = self.actors.borrow_mut();
        let actor = actors.entry(target.clone()).or_default();
        actor.close_surplus = Some(Box::new(close_surplus));
    }

    /// Removes a target's actor, which no longer owns a connection.
    pub fn actor_stopped(&self, target: &TargetId) {
        self.actors.borrow_mut().remove(target);
    }

    /// Adds a waiting call to the pool's queue; the channel wakes the call.
    fn enqueue(&self, pool: &PoolId) -> Receiver<()> {
        let (wake, woken) = async_channel::bounded(1);
        self.waiting
            .borrow_mut()
            .entry(pool.clone())
            .or_default()
            .push_back(wake);
        woken
    }

    /// Wakes the call that has waited longest, if there is capacity.
    fn wake_first(&self, pool: &PoolId) {
        if !self.local.borrow().has_capacity(now(), pool) {
            return;
        }
        let mut waiting = self.waiting.borrow_mut();
        let Some(queue) = waiting.get_mut(pool) else {
            return;
        };
        // Skips calls that have ended meanwhile.
        while let Some(first) = queue.pop_front() {
            if first.try_send(()).is_ok() {
                break;
            }
        }
        if queue.is_empty() {
            waiting.remove(pool);
        }
    }

    /// Closes surplus idle connections, first at the targets with the most of them.
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

    /// Clients cannot name a member yet, so all events count for the default member.
    fn event_use(&self) -> ConnectionUse {
        ConnectionUse::Event(self.local.borrow().member(OTHERS))
    }
}
