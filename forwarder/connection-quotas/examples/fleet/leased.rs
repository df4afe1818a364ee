//! Quotas by leases, with the real lease table, issuer and holders. A log entry is applied after 20 ms, a report is
//! delivered after 10 ms.

use plankhill_connection_quotas::language::{Facts, KnownNames, PoolId};
use plankhill_connection_quotas::leases::{encode, Instance, LeaseTable, MemberIncarnation};
use plankhill_connection_quotas::local::{
    Admission, ConnectionUse, LocalQuotas, LocalQuotasConfig,
};

use super::traffic::ConnectionStrategy;
use crate::{FORWARDERS, MAX_CONNECTIONS, MEMBERS, TARGETS};

pub struct LeasedQuotas {
    locals: Vec<LocalQuotas>,
    pools: Vec<PoolId>,
    log: Vec<(f64, Vec<u8>)>,
    reports: Vec<(f64, Vec<u8>)>,
}

fn name(target: usize) -> String {
    format!("t{target}")
}

impl LeasedQuotas {
    pub fn new() -> Self {
        let members: String = MEMBERS
            .iter()
            .map(|(name, weight)| format!("member {name} {{ weight {weight} }} "))
            .collect();
        let text = format!(
            "language 1 edition 1 lease {{ lasts 10s renew 1s }} {members}
             budget each target {{ connections {MAX_CONNECTIONS} standing {} }}",
            MAX_CONNECTIONS / 10
        );
        let instances: Vec<(Instance, String)> = (0..FORWARDERS)
            .map(|at| (Instance(format!("i{at:03}")), String::new()))
            .collect();
        let local = |at: usize| {
            let policy = plankhill_connection_quotas::policy("p", &text, &KnownNames::default())
                .expect("is valid");
            let (instance, incarnation) = (instances[at].0.clone(), MemberIncarnation(at as u64));
            let (text, instances) = (text.clone(), instances.clone());
            let mut local = LocalQuotas::new(LocalQuotasConfig {
                instance,
                incarnation,
                text,
                policy,
                instances,
                grace: 600.0,
            });
            (0..TARGETS).for_each(|at| {
                local.upsert_target(Facts {
                    target: name(at),
                    ..Facts::default()
                })
            });
            local
        };
        let mut locals: Vec<LocalQuotas> = (0..FORWARDERS).map(local).collect();
        locals[0].became_leader(0.0, 1, &LeaseTable::default().snapshot());
        let pools = (0..TARGETS)
            .map(|target| PoolId::Target(name(target)))
            .collect();
        LeasedQuotas {
            locals,
            pools,
            log: Vec::new(),
            reports: Vec::new(),
        }
    }
}

fn event(local: &LocalQuotas, member: usize) -> ConnectionUse {
    ConnectionUse::Event(local.member(MEMBERS[member].0))
}

impl ConnectionStrategy for LeasedQuotas {
    fn acquire(
        &mut self,
        now: f64,
        forwarder: usize,
        target: usize,
        member: usize,
        idle: bool,
    ) -> bool {
        let local = &mut self.locals[forwarder];
        let (connection_use, from) = (event(local, member), idle.then(|| &self.pools[target]));
        matches!(
            local.acquire(now, now + 2_000.0, &name(target), connection_use, from),
            Admission::Admitted(_)
        )
    }

    fn refused(&mut self, now: f64, forwarder: usize, target: usize, member: usize) {
        let connection_use = event(&self.locals[forwarder], member);
        self.locals[forwarder].connection_closed(now, &self.pools[target], Some(connection_use));
    }

    fn completed(&mut self, now: f64, forwarder: usize, target: usize, member: usize) -> bool {
        let connection_use = event(&self.locals[forwarder], member);
        let stays_open =
            self.locals[forwarder].release_idle(now, &self.pools[target], connection_use);
        if !stays_open {
            self.locals[forwarder].connection_closed(now, &self.pools[target], None);
        }
        stays_open
    }

    fn idle_closed(&mut self, now: f64, forwarder: usize, target: usize) {
        self.locals[forwarder].connection_closed(now, &self.pools[target], None);
    }

    fn step(&mut self, now: f64) -> Vec<(usize, usize, u32)> {
        let (due, later) = std::mem::take(&mut self.log)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.log = later;
        let due: Vec<(f64, Vec<u8>)> = due;
        for (_, command) in due {
            self.locals
                .iter_mut()
                .for_each(|local| local.applied(now, 1, &command));
        }
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.reports = later;
        let due: Vec<(f64, Vec<u8>)> = due;
        let mut commands: Vec<_> = due
            .iter()
            .filter_map(|(_, report)| self.locals[0].reported(now, report))
            .collect();
        if now % 100.0 == 0.0 {
            commands.extend(self.locals[0].due_commands(now));
        }
        self.log
            .extend(commands.iter().map(|command| (now + 20.0, encode(command))));
        let mut close = Vec::new();
        for (forwarder, local) in self.locals.iter_mut().enumerate() {
            if now > 10.0 * forwarder as f64 {
                self.reports
                    .extend(local.report(now).map(|report| (now + 10.0, report)));
            }
            for (pool, surplus) in local.surplus(now) {
                let target = self
                    .pools
                    .iter()
                    .position(|known| *known == pool)
                    .expect("is one of them");
                close.push((forwarder, target, surplus));
            }
        }
        close
    }
}
