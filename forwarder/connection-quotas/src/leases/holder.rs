//! A holder's side: what it has asked, what it was given, and what it may have open at any moment. Every use of
//! a connection asks here first, so that a process that slept past its lease's end closes before it opens.

use std::collections::{BTreeMap, VecDeque};

use super::words::*;
use crate::language::PoolId;

/// Reports whose answers may still come; one that was made earlier is answered in vain.
const MOST_ASKED: usize = 32;

/// What a holder may have open at one pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Allowed {
    /// All together, idle ones counted.
    pub all: u32,
    /// By member; none of the members is bounded by itself where there is no lease.
    pub members: Option<Vec<u32>>,
    pub trials: u32,
}

#[derive(Debug)]
pub struct Holder {
    instance: Instance,
    life: MemberIncarnation,
    asked: u64,
    /// When each of the last reports was made.
    asks: VecDeque<(u64, f64)>,
    lease: Option<Held>,
    closed: Number,
    /// The policy whose standing parts it has closed down to.
    edition: u64,
}

#[derive(Debug)]
struct Held {
    number: Number,
    ends: f64,
    parts: BTreeMap<PoolId, PartOf>,
}

impl Holder {
    pub fn new(instance: Instance, life: MemberIncarnation) -> Self {
        Holder {
            instance,
            life,
            asked: 0,
            asks: VecDeque::new(),
            lease: None,
            closed: Number(0),
            edition: 0,
        }
    }

    pub fn instance(&self) -> &Instance {
        &self.instance
    }

    /// A report, which asks for a lease that counts from `now` on.
    pub fn report(&mut self, now: f64, mut wants: Vec<WantsOf>) -> Report {
        self.asked += 1;
        self.asks.push_back((self.asked, now));
        if self.asks.len() > MOST_ASKED {
            self.asks.pop_front();
        }
        wants.truncate(MOST_POOLS);
        let (instance, life, edition) = (self.instance.clone(), self.life, self.edition);
        Report {
            instance,
            life,
            asked: self.asked,
            closed: self.closed,
            edition,
            wants,
        }
    }

    /// A lease that was written down. Those of others, of an earlier life, and old ones change nothing.
    pub fn granted(&mut self, grant: &Grant) {
        let mine = grant.instance == self.instance && grant.life == self.life;
        let newer = self
            .lease
            .as_ref()
            .is_none_or(|lease| lease.number < grant.number);
        let asked = self.asks.iter().find(|(asked, _)| *asked == grant.asked);
        let Some((_, at)) = asked.filter(|_| mine && newer) else {
            return;
        };
        let parts = grant
            .parts
            .iter()
            .map(|part| (part.pool.clone(), part.clone()))
            .collect();
        self.lease = Some(Held {
            number: grant.number,
            ends: at + grant.lasts,
            parts,
        });
        self.asks.retain(|(asked, _)| *asked > grant.asked);
    }

    /// When the lease ends, if one is held at `now`.
    pub fn ends(&self, now: f64) -> Option<f64> {
        self.lease
            .as_ref()
            .map(|lease| lease.ends)
            .filter(|ends| now < *ends)
    }

    /// What may be open from `now` up to `until`; `standing` is what it has without a lease. That holds once
    /// this life had a first one: before, its book may be an old one.
    pub fn allowed(&self, now: f64, until: f64, pool: &PoolId, standing: u32) -> Allowed {
        let standing = if self.lease.is_some() { standing } else { 0 };
        let alone = Allowed {
            all: standing,
            members: None,
            trials: 0,
        };
        let Some(lease) = self
            .lease
            .as_ref()
            .filter(|lease| now < lease.ends && until <= lease.ends)
        else {
            return alone;
        };
        match lease.parts.get(pool) {
            Some(part) if part.all() > standing => Allowed {
                all: part.all(),
                members: Some(part.members.clone()),
                trials: part.trials,
            },
            _ => alone,
        }
    }

    /// Told what is open at each pool: once it is no more than is allowed, no earlier lease is relied on, and no
    /// earlier policy. `edition` is the newest policy heard, and `standing` what there is without a lease by it.
    pub fn open(
        &mut self,
        now: f64,
        open: &BTreeMap<PoolId, u32>,
        edition: u64,
        standing: impl Fn(&PoolId) -> u32,
    ) {
        let within = |(pool, open): (&PoolId, &u32)| {
            *open <= self.allowed(now, now, pool, standing(pool)).all
        };
        if !open.iter().all(within) {
            return;
        }
        self.edition = edition;
        if let Some(lease) = self.lease.as_ref().filter(|lease| now < lease.ends) {
            self.closed = lease.number;
        }
    }
}
