//! Checks on a simulated fleet with faults that the number of open connections never exceeds the quota, and that this
//! check detects each injected bug.

mod fleet;

use fleet::{policy, Fleet, InjectedBug, BUDGET, STEP};
use plankhill_connection_quotas::language::{Facts, KnownNames, PoolId};
use plankhill_connection_quotas::leases::{
    decode, standing, Command, Grant, Instance, LeaseHolder, LeaseIssuer, LeaseNumber, LeaseTable,
    MemberIncarnation, Outcome, PoolDemand, PoolGrant,
};
use rstest::rstest;

const MINUTE: u32 = (60_000.0 / STEP) as u32;

/// Runs a fleet for two minutes, in which new policies raise and lower the standing shares.
fn run_fleet(seed: u64, injected_bug: InjectedBug) -> Fleet {
    let mut fleet = Fleet::new(seed, 5, injected_bug);
    for step in 0..2 * MINUTE {
        match step {
            3_000 => fleet.propose_policy(policy(2, 6)),
            7_000 => fleet.propose_policy(policy(3, 1)),
            _ => (),
        }
        fleet.step();
        if fleet.observations.exceeded {
            break;
        }
    }
    fleet
}

#[test]
fn the_quota_is_never_exceeded_under_faults() {
    let (mut opened, mut leaders, mut kernel_kills) = (0u64, 0u64, 0u64);
    let seeds = std::env::var("POOLS_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(12);
    for seed in 0..seeds {
        let fleet = run_fleet(seed, InjectedBug::Nothing);
        assert!(
            !fleet.observations.exceeded,
            "seed {seed}: {} open at {} ms",
            fleet.observations.most_open, fleet.now
        );
        opened += fleet.observations.opened;
        leaders += u64::from(fleet.observations.leader_changes);
        kernel_kills += u64::from(fleet.observations.kernel_kills);
    }
    // Ensures that the simulation exercised leases and faults.
    assert!(
        opened > seeds * 200 && leaders > seeds && kernel_kills > seeds * 5,
        "{opened} {leaders} {kernel_kills}"
    );
}

#[rstest]
#[case(InjectedBug::DriftIgnored)]
#[case(InjectedBug::StallIgnored)]
#[case(InjectedBug::CountedFromReceipt)]
#[case(InjectedBug::OldLeasesIgnored)]
#[case(InjectedBug::ClosedTooEarly)]
#[case(InjectedBug::ExpiryIgnored)]
fn an_injected_bug_is_detected(#[case] injected_bug: InjectedBug) {
    let found = (0..60).find(|seed| run_fleet(*seed, injected_bug).observations.exceeded);
    assert!(
        found.is_some(),
        "the check does not detect {injected_bug:?}"
    );
}

#[test]
fn without_faults_most_of_the_quota_is_in_use() {
    for seed in 0..5 {
        let mut fleet = run_fleet(seed, InjectedBug::Nothing);
        fleet.faults_enabled = false;
        (0..MINUTE / 3).for_each(|_| fleet.step());
        let mut open = 0;
        for _ in 0..MINUTE {
            fleet.step();
            open += fleet.open();
        }
        let share = f64::from(open) / f64::from(MINUTE * BUDGET);
        assert!(share > 0.7, "seed {seed}: {share} of the budget is open");
    }
}

fn listed(count: usize) -> Vec<(Instance, String)> {
    (0..count)
        .map(|at| (Instance(format!("i{at}")), String::new()))
        .collect()
}

#[test]
fn standing_shares_sum_up_to_the_connections_set_aside() {
    for (set_aside, count) in [(0, 3), (2, 5), (7, 3), (100, 7), (3, 100)] {
        let all = listed(count);
        for target in 0..20 {
            let pool = PoolId::Target(format!("t{target}"));
            let shares: Vec<u32> = all
                .iter()
                .map(|(name, _)| standing(set_aside, &pool, name, &all))
                .collect();
            assert_eq!(shares.iter().sum::<u32>(), set_aside);
            assert!(shares.iter().max().unwrap() - shares.iter().min().unwrap() <= 1);
        }
    }
    assert_eq!(
        standing(
            9,
            &PoolId::Destination(1),
            &Instance("unlisted".into()),
            &listed(3)
        ),
        0
    );
}

#[test]
fn a_table_and_its_restored_snapshot_refuse_leases_beyond_the_quota() {
    let mut table = LeaseTable::default();
    let text = "language 1 edition 4 budget each target { connections 10 standing 2 }".to_owned();
    assert_eq!(
        table.apply(
            1,
            &Command::Policy {
                text,
                instances: listed(2)
            }
        ),
        Outcome::Applied
    );
    let facts = Facts {
        target: "t".into(),
        ..Facts::default()
    };
    let grant = |instance: usize, number: u64, share: u32| {
        let pool = PoolId::Target("t".into());
        Command::Grant(Grant {
            instance: Instance(format!("i{instance}")),
            incarnation: MemberIncarnation(1),
            report: number,
            closed_to: LeaseNumber(0),
            edition: 4,
            number: LeaseNumber(number),
            ttl: 1_000.0,
            grace: 0.0,
            drift: 0.01,
            pools: vec![PoolGrant {
                pool,
                facts: facts.clone(),
                members: vec![share],
                trials: 0,
            }],
        })
    };
    assert_eq!(
        table.apply(1, &grant(0, 1, 10)),
        Outcome::Refused,
        "the other instance has a standing share of 1"
    );
    assert_eq!(table.apply(1, &grant(0, 1, 9)), Outcome::Applied);
    let mut restored = LeaseTable::restore(&table.snapshot()).expect("is a table");
    for table in [&mut table, &mut restored] {
        assert_eq!(table.apply(1, &grant(1, 1, 2)), Outcome::Refused);
        assert_eq!(
            table.apply(1, &grant(0, 2, 3)),
            Outcome::Applied,
            "the earlier lease may still be held"
        );
        assert_eq!(table.apply(1, &grant(1, 1, 2)), Outcome::Refused);
        assert_eq!(
            table.apply(0, &grant(1, 1, 1)),
            Outcome::Refused,
            "proposed by an earlier leader"
        );
        let instance = Instance("i0".into());
        assert_eq!(
            table.apply(
                2,
                &Command::Ended {
                    instance,
                    number: LeaseNumber(1)
                }
            ),
            Outcome::Applied
        );
        assert_eq!(table.apply(2, &grant(1, 1, 7)), Outcome::Applied);
    }
    assert!(LeaseTable::restore(b"no table").is_err() && decode::<Command>(&[9, 9, 9]).is_none());
}

#[test]
fn after_a_policy_change_to_another_pool_grants_wait_for_leases_of_the_earlier_policy() {
    let mut table = LeaseTable::default();
    let text = |edition, scope| {
        format!("language 1 edition {edition} budget {scope} {{ connections 10 standing 0 }}")
    };
    let policy_command = |text| Command::Policy {
        text,
        instances: listed(2),
    };
    table.apply(1, &policy_command(text(1, "each target")));
    let facts = Facts {
        target: "t".into(),
        destination: 3,
        ..Facts::default()
    };
    let mut holder = LeaseHolder::new(Instance("i0".into()), MemberIncarnation(1));
    let mut issuer = LeaseIssuer::new(0.0, 100.0, &table);
    let mut now = 0.0;
    let mut request_lease = |table: &mut LeaseTable,
                             holder: &mut LeaseHolder,
                             issuer: &mut LeaseIssuer,
                             edition|
     -> u32 {
        now += 2_000.0;
        holder.observe_open(now, &Default::default(), edition, |_| 0);
        let demand = PoolDemand {
            facts: facts.clone(),
            members: vec![6],
            trials: 0,
        };
        let report = holder.report(now, vec![demand]);
        let Some(command) = issuer.reported(now, table, report) else {
            return 0;
        };
        let outcome = table.apply(1, &command);
        issuer.applied(now, &command, outcome);
        let Command::Grant(grant) = command else {
            return 0;
        };
        if outcome == Outcome::Applied {
            holder.granted(&grant);
        }
        let pool = table
            .policy()
            .and_then(|(policy, _)| policy.pool(&facts))
            .expect("has a budget");
        holder.allowance(now, now, &pool, 0).total
    };
    assert_eq!(request_lease(&mut table, &mut holder, &mut issuer, 1), 6);
    table.apply(1, &policy_command(text(2, "each destination")));
    assert_eq!(
        request_lease(&mut table, &mut holder, &mut issuer, 2),
        0,
        "the lease by the earlier policy is still counted"
    );
    let known = KnownNames::default();
    assert!(plankhill_connection_quotas::policy("p", &text(2, "each destination"), &known).is_ok());
    for _ in 0..8 {
        for command in issuer.due(1e5, &table) {
            table.apply(1, &command);
        }
        if request_lease(&mut table, &mut holder, &mut issuer, 2) == 6 {
            return;
        }
    }
    panic!("the lease is never granted");
}
