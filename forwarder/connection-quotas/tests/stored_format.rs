//! Pinned encodings of the messages between holders and issuers, of the commands of the control group's log, and of
//! the lease table's snapshot.

use plankhill_connection_quotas::language::{Facts, LeaseTerms, MemberId, PoolId};
use plankhill_connection_quotas::leases::{
    decode, encode, Command, Grant, Instance, LeaseNumber, LeaseTable, MemberIncarnation, Outcome,
    PoolDemand, PoolGrant, Report,
};
use serde::{de::DeserializeOwned, Serialize};

const PINNED: &str = include_str!("stored_format/values.txt");

fn pinned(name: &str) -> Vec<u8> {
    let line = PINNED
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let hex = line.unwrap_or_else(|| panic!("{name} is not pinned"));
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

fn check<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(name: &str, value: T) {
    assert_eq!(encode(&value), pinned(name), "{name}");
    assert_eq!(decode::<T>(&pinned(name)), Some(value), "{name}");
}

const POLICY: &str = "language 1 edition 7 lease { lasts 3s renew 300ms drift 1% } \
    member shop { weight 3 } budget each target { connections 12 standing 2 }";

fn facts() -> Facts {
    Facts {
        target: "t-1".into(),
        destination: 0x0102_0304_0506_0708,
        kind: "webhook".into(),
        zone: "north".into(),
        cold: true,
        draining: true,
    }
}

fn instances() -> Vec<(Instance, String)> {
    vec![
        (Instance("one".into()), "north".into()),
        (Instance("two".into()), String::new()),
    ]
}

fn grant(pool: PoolId, number: u64) -> Grant {
    Grant {
        instance: Instance("one".into()),
        incarnation: MemberIncarnation(0xfedc_ba98_7654_3210),
        report: 300,
        closed_to: LeaseNumber(number - 1),
        edition: 7,
        number: LeaseNumber(number),
        ttl: 3_000.0,
        grace: 600.5,
        drift: 0.01,
        pools: vec![PoolGrant {
            pool,
            facts: facts(),
            members: vec![3, 2],
            trials: 1,
        }],
    }
}

fn pools() -> [PoolId; 2] {
    [PoolId::Target("t-1".into()), PoolId::Destination(1 << 40)]
}

fn name_of(pool: &PoolId) -> &'static str {
    match pool {
        PoolId::Target(_) => "Target",
        PoolId::Destination(_) => "Destination",
    }
}

#[test]
fn a_report_is_encoded_as_pinned() {
    let pool_demands = vec![PoolDemand {
        facts: facts(),
        members: vec![300, 2],
        trials: 9,
    }];
    let report = Report {
        instance: Instance("one".into()),
        incarnation: MemberIncarnation(0xfedc_ba98_7654_3210),
        number: 300,
        closed_to: LeaseNumber(70_000),
        edition: 7,
        demands: pool_demands,
    };
    check("Report", report);
}

#[test]
fn every_command_is_encoded_as_pinned() {
    let mut all = vec![
        Command::Policy {
            text: POLICY.into(),
            instances: instances(),
        },
        Command::Settled { edition: 300 },
        Command::Ended {
            instance: Instance("one".into()),
            number: LeaseNumber(70_000),
        },
    ];
    all.extend(pools().map(|pool| Command::Grant(grant(pool, 70_000))));
    for command in all {
        let name = match &command {
            Command::Policy { .. } => "Policy".to_owned(),
            Command::Settled { .. } => "Settled".to_owned(),
            Command::Grant(grant) => format!("Grant{}", name_of(&grant.pools[0].pool)),
            Command::Ended { .. } => "Ended".to_owned(),
        };
        check(&name, command);
    }
}

#[test]
fn nested_values_are_encoded_as_pinned() {
    for pool in pools() {
        check(&format!("Pool{}", name_of(&pool)), pool);
    }
    check("Facts", facts());
    check("Member", MemberId(300));
    check(
        "LeaseTerms",
        LeaseTerms {
            lasts: 3_000.0,
            renew: 300.5,
            drift: 0.25,
        },
    );
}

#[test]
fn a_table_is_saved_and_restored_as_pinned() {
    let mut table = LeaseTable::default();
    assert_eq!(table.snapshot(), pinned("EmptyBook"));
    let newer = POLICY.replace("edition 7", "edition 8");
    let commands = [
        Command::Policy {
            text: POLICY.into(),
            instances: instances(),
        },
        Command::Grant(grant(PoolId::Target("t-1".into()), 3)),
        Command::Grant(Grant {
            closed_to: LeaseNumber(0),
            ..grant(PoolId::Target("t-1".into()), 4)
        }),
        Command::Policy {
            text: newer,
            instances: instances(),
        },
    ];
    for command in &commands {
        assert_eq!(table.apply(300, command), Outcome::Applied, "{command:?}");
    }
    assert_eq!(table.snapshot(), pinned("Book"));
    let restored = LeaseTable::restore(&pinned("Book")).unwrap();
    assert_eq!(restored.snapshot(), pinned("Book"));
    assert_eq!(restored.policy().unwrap().0.edition, 8);
    assert_eq!(
        restored
            .open()
            .map(|(name, leases)| (name.0.as_str(), leases.len()))
            .collect::<Vec<_>>(),
        [("one", 2)]
    );
    assert_eq!(
        LeaseTable::restore(&pinned("EmptyBook"))
            .unwrap()
            .snapshot(),
        pinned("EmptyBook")
    );
}
