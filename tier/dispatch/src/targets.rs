//! The targets that the tables name, by the module's ids, and what differs between two tables.

use std::collections::HashMap;
use std::net::SocketAddr;

use plankhill_decisions::interface::{DestinationId, EndpointState, Ms, TargetId, ZoneId};
use plankhill_protocol::ids::{InstanceId, ServiceName, ZoneName};
use plankhill_protocol::tables::{Target, TargetState};

use crate::affinity::{target_hash, Kept};
use crate::load::TargetLoad;

/// One start of a target, and what this proxy knows of it.
#[derive(Debug)]
pub(crate) struct KnownTarget {
    pub(crate) id: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) in_own_zone: bool,
    pub(crate) hash: u64,
    pub(crate) load: TargetLoad,
    pub(crate) kept: Kept,
    /// The end of the wait after its last refusal.
    pub(crate) closed_until: Ms,
    service: DestinationId,
    listing: EndpointState,
}

/// A difference for the decision module.
#[derive(Clone, Debug)]
pub(crate) struct Relisted {
    pub(crate) target: TargetId,
    pub(crate) service: DestinationId,
    pub(crate) zone: ZoneId,
    pub(crate) listing: EndpointState,
}

/// All targets, also those that are gone and still have calls out.
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

    /// The service's number in the decision module. Names are few: the operator's configurations hold them.
    pub(crate) fn service(&mut self, name: &ServiceName) -> DestinationId {
        let next = DestinationId(self.services.len() as u64);
        *self.services.entry(name.clone()).or_insert(next)
    }

    fn zone(&mut self, name: &ZoneName) -> ZoneId {
        let next = ZoneId(self.zones.len());
        *self.zones.entry(name.clone()).or_insert(next)
    }

    /// Takes over new tables; returns what changed.
    pub(crate) fn replace(&mut self, own_zone: &ZoneName, listed: &[Target]) -> Vec<Relisted> {
        let named: HashMap<&str, &Target> = listed
            .iter()
            .map(|target| (target.id.as_str(), target))
            .collect();
        let mut changes = self.gone(&named);
        for target in listed {
            changes.extend(self.enter(own_zone, target));
        }
        changes
    }

    fn gone(&mut self, named: &HashMap<&str, &Target>) -> Vec<Relisted> {
        let mut changes = Vec::new();
        for (id, known) in &mut self.by_id {
            let is_named = named.contains_key(known.id.as_str());
            if is_named || known.listing == EndpointState::Removed {
                continue;
            }
            known.listing = EndpointState::Removed;
            let (service, zone) = (known.service, ZoneId::UNKNOWN);
            changes.push(Relisted {
                target: id.clone(),
                service,
                zone,
                listing: EndpointState::Removed,
            });
        }
        changes
    }

    fn enter(&mut self, own_zone: &ZoneName, target: &Target) -> Option<Relisted> {
        let id = target_id(&target.id);
        let service = self.service(&target.service);
        let zone = self.zone(&target.zone);
        let listing = match target.state {
            TargetState::Healthy => EndpointState::Running,
            TargetState::Draining => EndpointState::Draining,
        };
        if let Some(known) = self.by_id.get_mut(&id) {
            known.address = target.address;
            if known.listing == listing {
                return None;
            }
            known.listing = listing;
            return Some(Relisted {
                target: id,
                service: known.service,
                zone,
                listing,
            });
        }
        let known = KnownTarget {
            id: target.id.clone(),
            address: target.address,
            in_own_zone: target.zone == *own_zone,
            hash: target_hash(&target.id),
            load: TargetLoad::new(target.capacity),
            kept: Kept::default(),
            closed_until: f64::NEG_INFINITY,
            service,
            listing,
        };
        self.by_id.insert(id.clone(), known);
        Some(Relisted {
            target: id,
            service,
            zone,
            listing,
        })
    }

    /// The hashes of the service's targets that take new requests.
    pub(crate) fn running_hashes(&self, service: DestinationId) -> Vec<u64> {
        let of_service = self.by_id.values().filter(|known| known.service == service);
        of_service
            .filter(|known| known.listing == EndpointState::Running)
            .map(|known| known.hash)
            .collect()
    }

    /// When the first target that refused takes calls again; none where no wait runs.
    pub(crate) fn opens_at(&self, service: DestinationId, now: Ms) -> Option<Ms> {
        let of_service = self.by_id.values().filter(|known| known.service == service);
        let running = of_service.filter(|known| known.listing == EndpointState::Running);
        let waits = running
            .map(|known| known.closed_until)
            .filter(|until| *until > now);
        waits.reduce(f64::min)
    }

    /// Forgets targets that are gone and have no call out.
    pub(crate) fn forget_gone(&mut self) {
        self.by_id
            .retain(|_, known| known.listing != EndpointState::Removed || known.load.out() > 0);
    }
}

/// The target's name in the decision module.
pub(crate) fn target_id(id: &InstanceId) -> TargetId {
    TargetId(id.as_str().into())
}
