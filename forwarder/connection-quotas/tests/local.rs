//! A forwarder's side by plain calls: two of them, one of which leads, and bytes carried between them.

use plankhill_connection_quotas::language::{Facts, KnownNames, PoolId, OTHERS};
use plankhill_connection_quotas::leases::{encode, Command, Instance, MemberIncarnation};
use plankhill_connection_quotas::local::{
    Admission, ConnectionUse, LocalQuotas, LocalQuotasConfig,
};

const POLICY: &str = "language 1 edition 1 lease { lasts 3s renew 300ms }
    budget each target { connections 10 standing 2 reserve 1 }";

fn local(name: &str) -> LocalQuotas {
    let policy =
        plankhill_connection_quotas::policy("p", POLICY, &KnownNames::default()).expect("is sound");
    let instances = ["a", "b"]
        .map(|name| (Instance(name.into()), String::new()))
        .to_vec();
    let (instance, incarnation, text) =
        (Instance(name.into()), MemberIncarnation(7), POLICY.into());
    let mut local = LocalQuotas::new(LocalQuotasConfig {
        instance,
        incarnation,
        text,
        policy,
        instances,
        grace: 600.0,
    });
    local.upsert_target(facts());
    local
}

fn facts() -> Facts {
    Facts {
        target: "t".into(),
        destination: 3,
        ..Facts::default()
    }
}

fn pool() -> PoolId {
    PoolId::Target("t".into())
}

struct Two {
    now: f64,
    a: LocalQuotas,
    b: LocalQuotas,
}

impl Two {
    fn new() -> Two {
        let mut two = Two {
            now: 0.0,
            a: local("a"),
            b: local("b"),
        };
        let nothing = plankhill_connection_quotas::leases::LeaseTable::default().snapshot();
        two.a.leads(0.0, 1, &nothing);
        two.carry(4);
        two
    }

    fn log(&mut self, commands: Vec<Command>) {
        for command in commands {
            let bytes = encode(&command);
            self.a.applied(self.now, 1, &bytes);
            self.b.applied(self.now, 1, &bytes);
        }
    }

    fn opened_by_a(&self) -> u32 {
        self.a.open(&pool())
    }

    /// All that is due goes to and fro, a renewal each time.
    fn carry(&mut self, times: usize) {
        for _ in 0..times {
            self.now += 300.0;
            let due = self.a.due(self.now);
            self.log(due);
            for report in [self.a.report(self.now), self.b.report(self.now)] {
                let command = report.and_then(|report| self.a.reported(self.now, &report));
                self.log(command.into_iter().collect());
            }
        }
    }
}

fn event(local: &LocalQuotas) -> ConnectionUse {
    ConnectionUse::Event(local.member(OTHERS))
}

fn open(local: &mut LocalQuotas, now: f64, most: usize) -> usize {
    let what = event(local);
    (0..most)
        .take_while(|_| {
            local.acquire(now, now + 1_000.0, "t", what, None) == Admission::Admitted(pool())
        })
        .count()
}

#[test]
fn a_target_without_a_quota_is_unlimited_and_one_with_a_quota_has_nothing_before_it_is_agreed() {
    let mut alone = local("a");
    let what = event(&alone);
    assert_eq!(
        alone.acquire(0.0, 1.0, "stranger", what, None),
        Admission::Unlimited
    );
    assert_eq!(
        alone.acquire(0.0, 1.0, "t", what, None),
        Admission::Exhausted(pool())
    );
}

#[test]
fn shares_follow_demand_and_never_sum_up_to_more_than_the_quota() {
    let mut two = Two::new();
    for _ in 0..6 {
        open(&mut two.a, two.now, 20);
        two.carry(2);
    }
    // All but the reserve and what stands for the other.
    assert_eq!(two.opened_by_a(), 8);
    assert_eq!(open(&mut two.b, two.now, 20), 1, "what stands for it");
}

#[test]
fn connections_no_longer_wanted_are_closed_and_granted_to_the_other() {
    let mut two = Two::new();
    for _ in 0..6 {
        open(&mut two.a, two.now, 20);
        two.carry(2);
    }
    let what = event(&two.a);
    for _ in 0..two.opened_by_a() {
        assert!(
            two.a.release_idle(two.now, &pool(), what),
            "idle ones may stay as long as nobody else wants them"
        );
    }
    for _ in 0..20 {
        open(&mut two.b, two.now, 20);
        two.carry(1);
        for (pool, surplus) in two.a.surplus(two.now) {
            (0..surplus).for_each(|_| two.a.connection_closed(two.now, &pool, None));
        }
    }
    let (a, b) = (two.opened_by_a(), two.b.open(&pool()));
    assert!(b >= 7 && a + b <= 10, "{a} and {b}");
}

#[test]
fn past_its_lease_idle_connections_are_closed_and_only_standing_ones_opened() {
    let mut two = Two::new();
    for _ in 0..6 {
        open(&mut two.a, two.now, 20);
        two.carry(2);
    }
    let what = event(&two.a);
    (0..8).for_each(|_| {
        two.a.release_idle(two.now, &pool(), what);
    });
    assert_eq!(two.a.surplus(two.now + 2_600.0), []);
    assert_eq!(two.a.surplus(two.now + 3_000.0), [(pool(), 7)]);
    // A call that would outlast the lease is not begun on the strength of it.
    let late = two.now + 2_500.0;
    assert_eq!(
        two.a
            .acquire(late, late + 1_000.0, "t", what, Some(&pool())),
        Admission::Exhausted(pool())
    );
    assert_eq!(
        two.a.acquire(late, late + 300.0, "t", what, Some(&pool())),
        Admission::Admitted(pool())
    );
}

#[test]
fn a_health_check_has_the_reserve_where_events_took_all_else() {
    let mut two = Two::new();
    for _ in 0..6 {
        open(&mut two.a, two.now, 20);
        two.a
            .acquire(two.now, two.now, "t", ConnectionUse::Trial, None);
        two.a
            .connection_closed(two.now, &pool(), Some(ConnectionUse::Trial));
        two.carry(2);
    }
    assert_eq!(
        two.a.acquire(two.now, two.now, "t", event(&two.a), None),
        Admission::Exhausted(pool())
    );
    assert_eq!(
        two.a
            .acquire(two.now, two.now, "t", ConnectionUse::Trial, None),
        Admission::Admitted(pool())
    );
    assert_eq!(
        two.a
            .acquire(two.now, two.now, "t", ConnectionUse::Trial, None),
        Admission::Exhausted(pool())
    );
}
