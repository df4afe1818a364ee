//! A simulated fleet: instances with drifting clocks that stall, crash and restart, a log that each instance applies
//! with a delay, reports that are lost, delayed or duplicated, and changes of leader. Connections are counted as a target
//! counts them: those of a stalled process are included until the kernel kills it.

use std::collections::BTreeMap;

use plankhill_connection_quotas::language::{Facts, PoolId};
use plankhill_connection_quotas::leases::{
    Command, Grant, Instance, LeaseHolder, LeaseIssuer, LeaseTable, MemberIncarnation, Outcome,
    Report,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod faults;
mod process;
mod transport;

pub use faults::{InjectedBug, Observations};
use process::Process;

pub const STEP: f64 = 10.0;
/// The kernel kills a process that has stalled for this long, in milliseconds.
pub const STALL: f64 = 600.0;
const TIME_OUT: f64 = 700.0;
pub const BUDGET: u32 = 12;

pub struct Fleet {
    rng: ChaCha8Rng,
    injected_bug: InjectedBug,
    pub now: f64,
    log: Vec<(u64, Command)>,
    term: u64,
    leader: usize,
    instances: Vec<Process>,
    /// For each instance, the time until which it neither receives nor sends anything.
    cut_off: Vec<f64>,
    reports: Vec<(f64, Report)>,
    proposed: Vec<(f64, u64, Command)>,
    incarnations: u64,
    pub faults_enabled: bool,
    pub observations: Observations,
}

pub fn policy(edition: u32, standing: u32) -> String {
    let lease = "lease { lasts 3s renew 300ms drift 1% }";
    format!("language 1 edition {edition} {lease} budget each target {{ connections {BUDGET} standing {standing} }}")
}

pub fn pool() -> PoolId {
    PoolId::Target("t".into())
}

fn facts() -> Facts {
    Facts {
        target: "t".into(),
        ..Facts::default()
    }
}

impl Fleet {
    pub fn new(seed: u64, count: usize, injected_bug: InjectedBug) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let drift = if injected_bug == InjectedBug::DriftIgnored {
            0.4
        } else {
            0.01
        };
        let mut instance = |at: usize| {
            let name = Instance(format!("i{at}"));
            Process {
                holder: LeaseHolder::new(name.clone(), MemberIncarnation(at as u64)),
                name,
                // Clock rates are at the limits of the allowed drift.
                rate: if rng.random() {
                    1.0 - drift
                } else {
                    1.0 + drift
                },
                offset: rng.random_range(0.0..1e6),
                table: LeaseTable::default(),
                applied: 0,
                snapshot: (0, LeaseTable::default().snapshot()),
                open: Vec::new(),
                demand: 4,
                stalled_until: 0.0,
                down_until: 0.0,
                opens_after_stall: false,
                next_report_at: 0.0,
                issuer: None,
                standing: 0,
                ignores_expiry: injected_bug == InjectedBug::ExpiryIgnored,
            }
        };
        let instances: Vec<Process> = (0..count).map(&mut instance).collect();
        let cut_off = vec![0.0; count];
        let mut fleet = Fleet {
            rng,
            injected_bug,
            now: 0.0,
            log: Vec::new(),
            term: 0,
            leader: 0,
            instances,
            cut_off,
            reports: Vec::new(),
            proposed: Vec::new(),
            incarnations: 1_000,
            faults_enabled: true,
            observations: Observations::default(),
        };
        fleet.propose_policy(policy(1, 2));
        fleet
    }

    pub fn propose_policy(&mut self, text: String) {
        let instances = self
            .instances
            .iter()
            .map(|i| (i.name.clone(), String::new()))
            .collect();
        self.proposed
            .push((self.now, self.term, Command::Policy { text, instances }));
    }

    pub fn open(&self) -> u32 {
        self.instances
            .iter()
            .map(|instance| instance.open.len() as u32)
            .sum()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.inject_faults();
        self.deliver();
        for at in 0..self.instances.len() {
            self.step_instance(at);
        }
        let open = self.open();
        self.observations.most_open = self.observations.most_open.max(open);
        self.observations.exceeded |= open > BUDGET;
    }

    fn step_instance(&mut self, at: usize) {
        let now = self.now;
        if self.instances[at].stalled_until > now {
            return;
        }
        if self.instances[at].stalled_until > 0.0 && self.instances[at].down_until > now {
            // The process stalled for too long: the kernel has killed it.
            self.restart(at);
        }
        if self.instances[at].down_until > now {
            return;
        }
        self.instances[at].stalled_until = 0.0;
        if std::mem::take(&mut self.instances[at].opens_after_stall) {
            let ends = self.instances[at].clock(now) + TIME_OUT;
            self.instances[at].open.push(Some(ends));
        }
        self.apply_log(at);
        self.serve(at);
        self.report(at);
        self.propose_due(at);
    }

    fn apply_log(&mut self, at: usize) {
        let now = self.now;
        let leads = at == self.leader;
        if self.cut_off[at] > now || (!leads && self.rng.random_bool(0.7)) {
            return;
        }
        let injected_bug = self.injected_bug;
        let instance = &mut self.instances[at];
        let clock = instance.clock(now);
        while let Some((term, command)) = self.log.get(instance.applied) {
            if instance.applied.is_multiple_of(200) {
                instance.snapshot = (instance.applied, instance.table.snapshot());
            }
            instance.applied += 1;
            let outcome = instance.table.apply(*term, command);
            if let Some((_, issuer)) = &mut instance.issuer {
                issuer.applied(clock, command, outcome);
            }
            let Command::Grant(grant) = command else {
                let own = instance.table.standing(&facts(), &instance.name);
                instance.standing = own.map_or(0, |(_, standing)| standing);
                continue;
            };
            if outcome == Outcome::Refused {
                continue;
            }
            if injected_bug == InjectedBug::CountedFromReceipt && grant.instance == instance.name {
                let latest_report = instance.holder.report(clock, Vec::new()).number;
                instance.holder.granted(&Grant {
                    report: latest_report,
                    ..grant.clone()
                });
            }
            instance.holder.granted(grant);
        }
        if leads
            && instance
                .issuer
                .as_ref()
                .is_none_or(|(term, _)| *term < self.term)
        {
            let clock = if injected_bug == InjectedBug::OldLeasesIgnored {
                clock - 1e6
            } else {
                clock
            };
            let grace = if injected_bug == InjectedBug::StallIgnored {
                0.0
            } else {
                STALL
            };
            instance.issuer = Some((self.term, LeaseIssuer::new(clock, grace, &instance.table)));
        }
    }

    fn serve(&mut self, at: usize) {
        let now = self.now;
        let instance = &mut self.instances[at];
        let clock = instance.clock(now);
        instance
            .open
            .iter_mut()
            .filter(|call| call.is_some_and(|ends| ends <= clock))
            .for_each(|call| *call = None);
        // Calls outlast a lease only if the process stalled: their connections are closed.
        let allowed = instance.allowance(clock, clock) as usize;
        let is_expired = instance.holder.ends_at(clock).is_none();
        while instance.open.len() > allowed {
            match instance.open.iter().position(Option::is_none) {
                Some(idle) => instance.open.remove(idle),
                None if is_expired => instance.open.remove(0),
                None => break,
            };
        }
        let busy = instance.open.iter().filter(|call| call.is_some()).count() as u32;
        let free_capacity = instance.free_capacity(now);
        if busy < instance.demand && self.rng.random_bool(0.3) {
            let ends = Some(clock + self.rng.random_range(20.0..TIME_OUT));
            let instance = &mut self.instances[at];
            match instance.open.iter_mut().find(|call| call.is_none()) {
                Some(idle) if instance.holder.ends_at(clock + TIME_OUT).is_some() => *idle = ends,
                _ if free_capacity > 0 => {
                    instance.open.push(ends);
                    self.observations.opened += 1;
                }
                _ => (),
            }
        }
        let instance = &mut self.instances[at];
        let open = if self.injected_bug == InjectedBug::ClosedTooEarly {
            0
        } else {
            instance.open.len() as u32
        };
        if let Some((policy, _)) = instance.table.policy() {
            let standing = instance
                .table
                .standing(&facts(), &instance.name)
                .map_or(0, |(_, standing)| standing);
            let edition = policy.edition;
            instance
                .holder
                .observe_open(clock, &BTreeMap::from([(pool(), open)]), edition, |_| {
                    standing
                });
        }
    }
}
