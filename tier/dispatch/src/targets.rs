//! The targets in the endpoint lists, by the scheduler's ids, and the differences between two
//! lists. Owned by the dispatcher's state.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use plankhill_decisions::interface::{
    AttemptOutcome, DestinationId, EndpointState, Ms, TargetId, ZoneId,
};
use plankhill_protocol::ids::{InstanceId, ServiceName, ZoneName};
use plankhill_protocol::tables::{Target, TargetState};

use crate::attempt::{AttemptResult, UpstreamLoad};
use crate::prefix_cache::{PrefixCache, PREFILL_TIME_PER_TOKEN};
use crate::prefix_chain::PrefixChain;
use crate::rendezvous::target_hash;
use crate::target_load::TargetLoad;

/// One incarnation of a target, and its state at this proxy.
#[derive(Debug)]
pub(crate) struct KnownTarget {
    pub(crate) id: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) in_own_zone: bool,
    pub(crate) hash: u64,
    pub(crate) load: TargetLoad,
    pub(crate) prefix_cache: PrefixCache,
    /// The end of the backoff after the target's last rejection, until which the target is not
    /// open.
    closed_until: Ms,
    service: DestinationId,
    state: EndpointState,
}

impl KnownTarget {
    /// Records that a request with this prompt is sent to the target.
    pub(crate) fn on_sent(&mut self, now: Ms, prompt: &PrefixChain, has_shared_prefix: bool) {
        self.load.on_sent();
        let prefill = self.prefill_time(prompt, has_shared_prefix);
        self.load.on_prefill(now, prefill);
        self.prefix_cache.record(prompt);
    }

    /// Records the end of an attempt; returns the backoff during which the target gets no requests,
    /// 0 for none.
    pub(crate) fn on_attempt_ended(&mut self, now: Ms, result: &AttemptResult) -> Ms {
        self.load.on_ended();
        if let Some(load) = result.load {
            self.load.on_report(now, load);
        }
        match result.outcome {
            AttemptOutcome::Delivered => self.load.on_response(result.elapsed),
            AttemptOutcome::Rejected => return self.close_after_rejection(now, result.retry_after),
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Reset
            | AttemptOutcome::NotSent => self.load.on_failure(now),
            AttemptOutcome::Cancelled => (),
        }
        0.0
    }

    /// The time that the target takes to prefill the uncached part of the prompt.
    pub(crate) fn prefill_time(&self, prompt: &PrefixChain, has_shared_prefix: bool) -> Ms {
        let tokens = self.prefix_cache.missing_tokens(prompt, has_shared_prefix);
        PREFILL_TIME_PER_TOKEN * f64::from(tokens)
    }

    fn close_after_rejection(&mut self, now: Ms, retry_after: Option<Ms>) -> Ms {
        let backoff = retry_after.unwrap_or_else(|| self.load.rejection_backoff(now));
        self.closed_until = now + backoff;
        backoff
    }

    fn is_running(&self) -> bool {
        self.state == EndpointState::Running
    }
}

/// A difference between two endpoint lists, for the scheduler.
#[derive(Clone, Debug)]
pub(crate) struct EndpointChange {
    pub(crate) target: TargetId,
    pub(crate) service: DestinationId,
    pub(crate) zone: ZoneId,
    pub(crate) state: EndpointState,
}

/// All targets, including removed targets that still have attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct Targets {
    by_id: HashMap<TargetId, KnownTarget>,
    services: HashMap<ServiceName, DestinationId>,
    zones: HashMap<ZoneName, ZoneId>,
}

impl Targets {
    pub(crate) fn get(&self, id: &TargetId) -> Option<&KnownTarget> {
        self.by_id.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &TargetId) -> Option<&mut KnownTarget> {
        self.by_id.get_mut(id)
    }

    /// The service's id in the scheduler, assigned at the first use of the name. Ids are never
    /// removed: there are few names, which all come from the operator's configurations.
    pub(crate) fn service_id(&mut self, name: &ServiceName) -> DestinationId {
        let next = DestinationId(self.services.len() as u64);
        *self.services.entry(name.clone()).or_insert(next)
    }

    fn zone_id(&mut self, name: &ZoneName) -> ZoneId {
        let next = ZoneId(self.zones.len());
        *self.zones.entry(name.clone()).or_insert(next)
    }

    /// Applies a new endpoint list; returns the changes.
    ///
    /// Removed targets are first, in no particular order.
    pub(crate) fn replace(
        &mut self,
        own_zone: &ZoneName,
        listed: &[Target],
    ) -> Vec<EndpointChange> {
        let mut changes = self.remove_unlisted(listed);
        for target in listed {
            changes.extend(self.add_or_update(own_zone, target));
        }
        changes
    }

    fn remove_unlisted(&mut self, listed: &[Target]) -> Vec<EndpointChange> {
        let listed_ids: HashSet<&str> = listed.iter().map(|target| target.id.as_str()).collect();
        let mut changes = Vec::new();
        for (id, known) in &mut self.by_id {
            let is_listed = listed_ids.contains(known.id.as_str());
            if is_listed || known.state == EndpointState::Removed {
                continue;
            }
            known.state = EndpointState::Removed;
            changes.push(EndpointChange {
                target: id.clone(),
                service: known.service,
                zone: ZoneId::UNKNOWN,
                state: EndpointState::Removed,
            });
        }
        changes
    }

    fn add_or_update(&mut self, own_zone: &ZoneName, target: &Target) -> Option<EndpointChange> {
        let id = target_id(&target.id);
        let service = self.service_id(&target.service);
        let zone = self.zone_id(&target.zone);
        let state = match target.state {
            TargetState::Healthy => EndpointState::Running,
            TargetState::Draining => EndpointState::Draining,
        };
        if let Some(known) = self.by_id.get_mut(&id) {
            known.address = target.address;
            if known.state == state {
                return None;
            }
            known.state = state;
            return Some(EndpointChange {
                target: id,
                service: known.service,
                zone,
                state,
            });
        }
        let known = KnownTarget {
            id: target.id.clone(),
            address: target.address,
            in_own_zone: target.zone == *own_zone,
            hash: target_hash(&target.id),
            load: TargetLoad::new(target.capacity),
            prefix_cache: PrefixCache::default(),
            closed_until: f64::NEG_INFINITY,
            service,
            state,
        };
        self.by_id.insert(id.clone(), known);
        Some(EndpointChange {
            target: id,
            service,
            zone,
            state,
        })
    }

    /// The hashes of the service's targets that accept new requests.
    pub(crate) fn running_hashes(&self, service: DestinationId) -> Vec<u64> {
        self.running(service).map(|target| target.hash).collect()
    }

    /// When the first backoff of the service's targets after a rejection ends; `None` if no backoff
    /// is in progress.
    pub(crate) fn opens_at(&self, service: DestinationId, now: Ms) -> Option<Ms> {
        self.running(service)
            .map(|target| target.closed_until)
            .filter(|until| *until > now)
            .reduce(f64::min)
    }

    /// Records a load report that arrived before the end of its response.
    pub(crate) fn on_load_reported(&mut self, now: Ms, target: &InstanceId, load: UpstreamLoad) {
        if let Some(known) = self.by_id.get_mut(&target_id(target)) {
            known.load.on_report(now, load);
        }
    }

    /// Drops targets that are removed and have no attempt in flight.
    pub(crate) fn drop_removed(&mut self) {
        self.by_id
            .retain(|_, known| known.state != EndpointState::Removed || known.load.in_flight() > 0);
    }

    fn running(&self, service: DestinationId) -> impl Iterator<Item = &KnownTarget> {
        self.by_id
            .values()
            .filter(move |known| known.service == service && known.is_running())
    }
}

/// The target's id in the scheduler.
pub(crate) fn target_id(id: &InstanceId) -> TargetId {
    TargetId(id.as_str().into())
}
