//! Tests of `LocalQuotas` with two forwarders, one of which leads. Encoded messages are passed between them directly.

use plankhill_connection_quotas::language::{Facts, KnownNames, PoolId, OTHERS};
use plankhill_connection_quotas::leases::{encode, Command, Instance, MemberIncarnation};
use plankhill_connection_quotas::local::{
    Admission, ConnectionUse, LocalQuotas, LocalQuotasConfig,
};

const POLICY: &str = "language 1 edition 1 lease { lasts 3s renew 300ms }
    budget each target { connections 10 standing 2 reserve 1 }";

fn local(name: &str) -> LocalQuotas {
    let policy =
        plankhill_connection_quotas::policy("p", POLICY, &KnownNames::default()).expect("is valid");
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

struct TwoForwarders {
    now: f64,
    a: LocalQuotas,
    b: LocalQuotas,
}

impl TwoForwarders {
    fn new() -> TwoForwarders {
        let mut fleet = TwoForwarders {
            now: 0.0,
            a: local("a"),
            b: local("b"),
        };
        let empty_table = plankhill_connection_quotas::leases::LeaseTable::default().snapshot();
        fleet.a.became_leader(0.0, 1, &empty_table);
        fleet.exchange(4);
        fleet
    }

    fn apply(&mut self, commands: Vec<Command>) {
        for command in commands {
            let bytes = encode(&command);
            self.a.applied(self.now, 1, &bytes);
            self.b.applied(self.now, 1, &bytes);
        }
    }

    fn open_at_a(&self) -> u32 {
        self.a.open(&pool())
    }

    /// Exchanges all due commands and reports, for the given number of renewals.
    fn exchange(&mut self, times: usize) {
        for _ in 0..times {
            self.now += 300.0;
            let due = self.a.due_commands(self.now);
            self.apply(due);
            for report in [self.a.report(self.now), self.b.report(self.now)] {
                let command = report.and_then(|report| self.a.reported(self.now, &report));
                self.apply(command.into_iter().collect());
            }
        }
    }
}

fn event(local: &LocalQuotas) -> ConnectionUse {
    ConnectionUse::Event(local.member(OTHERS))
}

fn open(local: &mut LocalQuotas, now: f64, max: usize) -> usize {
    let connection_use = event(local);
    (0..max)
        .take_while(|_| {
            local.acquire(now, now + 1_000.0, "t", connection_use, None)
                == Admission::Admitted(pool())
        })
        .count()
}

#[test]
fn without_a_committed_policy_a_target_with_a_quota_has_no_connections_and_others_are_unlimited() {
    let mut forwarder = local("a");
    let connection_use = event(&forwarder);
    assert_eq!(
        forwarder.acquire(0.0, 1.0, "unknown", connection_use, None),
        Admission::Unlimited
    );
    assert_eq!(
        forwarder.acquire(0.0, 1.0, "t", connection_use, None),
        Admission::Exhausted(pool())
    );
}

#[test]
fn shares_follow_demand_and_their_sum_stays_within_the_quota() {
    let mut fleet = TwoForwarders::new();
    for _ in 0..6 {
        open(&mut fleet.a, fleet.now, 20);
        fleet.exchange(2);
    }
    // All connections except the reserve and the standing share of the other forwarder.
    assert_eq!(fleet.open_at_a(), 8);
    assert_eq!(open(&mut fleet.b, fleet.now, 20), 1, "its standing share");
}

#[test]
fn connections_no_longer_wanted_are_closed_and_granted_to_the_other() {
    let mut fleet = TwoForwarders::new();
    for _ in 0..6 {
        open(&mut fleet.a, fleet.now, 20);
        fleet.exchange(2);
    }
    let connection_use = event(&fleet.a);
    for _ in 0..fleet.open_at_a() {
        assert!(
            fleet.a.release_idle(fleet.now, &pool(), connection_use),
            "idle connections stay open while no other forwarder wants them"
        );
    }
    for _ in 0..20 {
        open(&mut fleet.b, fleet.now, 20);
        fleet.exchange(1);
        for (pool, surplus) in fleet.a.surplus(fleet.now) {
            (0..surplus).for_each(|_| fleet.a.connection_closed(fleet.now, &pool, None));
        }
    }
    let (a, b) = (fleet.open_at_a(), fleet.b.open(&pool()));
    assert!(b >= 7 && a + b <= 10, "{a} and {b}");
}

#[test]
fn after_expiry_idle_connections_are_closed_down_to_the_standing_share() {
    let mut fleet = TwoForwarders::new();
    for _ in 0..6 {
        open(&mut fleet.a, fleet.now, 20);
        fleet.exchange(2);
    }
    let connection_use = event(&fleet.a);
    (0..8).for_each(|_| {
        fleet.a.release_idle(fleet.now, &pool(), connection_use);
    });
    assert_eq!(fleet.a.surplus(fleet.now + 2_600.0), []);
    assert_eq!(fleet.a.surplus(fleet.now + 3_000.0), [(pool(), 7)]);
    // A call that may outlast the lease is not admitted by the lease.
    let late = fleet.now + 2_500.0;
    assert_eq!(
        fleet
            .a
            .acquire(late, late + 1_000.0, "t", connection_use, Some(&pool())),
        Admission::Exhausted(pool())
    );
    assert_eq!(
        fleet
            .a
            .acquire(late, late + 300.0, "t", connection_use, Some(&pool())),
        Admission::Admitted(pool())
    );
}

#[test]
fn a_health_check_uses_the_reserve_when_events_use_all_other_connections() {
    let mut fleet = TwoForwarders::new();
    for _ in 0..6 {
        open(&mut fleet.a, fleet.now, 20);
        fleet
            .a
            .acquire(fleet.now, fleet.now, "t", ConnectionUse::Trial, None);
        fleet
            .a
            .connection_closed(fleet.now, &pool(), Some(ConnectionUse::Trial));
        fleet.exchange(2);
    }
    assert_eq!(
        fleet
            .a
            .acquire(fleet.now, fleet.now, "t", event(&fleet.a), None),
        Admission::Exhausted(pool())
    );
    assert_eq!(
        fleet
            .a
            .acquire(fleet.now, fleet.now, "t", ConnectionUse::Trial, None),
        Admission::Admitted(pool())
    );
    assert_eq!(
        fleet
            .a
            .acquire(fleet.now, fleet.now, "t", ConnectionUse::Trial, None),
        Admission::Exhausted(pool())
    );
}
