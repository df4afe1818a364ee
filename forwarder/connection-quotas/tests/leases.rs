//! The invariant of leases on a small fleet with faults of all kinds, and that the check finds each defence
//! that is left out.

mod fleet;

use fleet::{policy, Fleet, Planted, BUDGET, STEP};
use plankhill_connection_quotas::language::{Facts, KnownNames, PoolId};
use plankhill_connection_quotas::leases::{
    decode, standing, Command, Grant, Instance, LeaseHolder, LeaseIssuer, LeaseNumber, LeaseTable,
    MemberIncarnation, Outcome, PoolDemand, PoolGrant,
};
use rstest::rstest;

const MINUTE: u32 = (60_000.0 / STEP) as u32;

/// Two minutes in which the policy changes what stands without a lease, up and down.
fn walk(seed: u64, planted: Planted) -> Fleet {
    let mut fleet = Fleet::new(seed, 5, planted);
    for step in 0..2 * MINUTE {
        match step {
            3_000 => fleet.agree(policy(2, 6)),
            7_000 => fleet.agree(policy(3, 1)),
            _ => (),
        }
        fleet.step();
        if fleet.seen.passed {
            break;
        }
    }
    fleet
}

#[test]
fn the_quota_holds_at_every_step_through_faults() {
    let (mut opened, mut leaders, mut ended) = (0u64, 0u64, 0u64);
    let seeds = std::env::var("POOLS_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(12);
    for seed in 0..seeds {
        let fleet = walk(seed, Planted::Nothing);
        assert!(
            !fleet.seen.passed,
            "seed {seed}: {} open at {} ms",
            fleet.seen.most_open, fleet.now
        );
        opened += fleet.seen.opened;
        leaders += u64::from(fleet.seen.changes_of_leader);
        ended += u64::from(fleet.seen.ended_by_the_kernel);
    }
    // Else nothing would have been tried.
    assert!(
        opened > seeds * 200 && leaders > seeds && ended > seeds * 5,
        "{opened} {leaders} {ended}"
    );
}

#[rstest]
#[case(Planted::DriftIgnored)]
#[case(Planted::StallIgnored)]
#[case(Planted::CountedFromReceipt)]
#[case(Planted::OldClocksTrusted)]
#[case(Planted::ClosedTooEarly)]
#[case(Planted::EndIgnored)]
fn a_defence_left_out_is_found(#[case] planted: Planted) {
    let found = (0..60).find(|seed| walk(*seed, planted).seen.passed);
    assert!(found.is_some(), "the check does not see {planted:?}");
}

#[test]
fn without_faults_nearly_all_of_the_quota_is_in_use() {
    for seed in 0..5 {
        let mut fleet = walk(seed, Planted::Nothing);
        fleet.faults = false;
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
fn shares_without_a_lease_sum_up_to_what_is_set_aside() {
    for (aside, count) in [(0, 3), (2, 5), (7, 3), (100, 7), (3, 100)] {
        let all = listed(count);
        for target in 0..20 {
            let pool = PoolId::Target(format!("t{target}"));
            let parts: Vec<u32> = all
                .iter()
                .map(|(name, _)| standing(aside, &pool, name, &all))
                .collect();
            assert_eq!(parts.iter().sum::<u32>(), aside);
            assert!(parts.iter().max().unwrap() - parts.iter().min().unwrap() <= 1);
        }
    }
    assert_eq!(
        standing(
            9,
            &PoolId::Destination(1),
            &Instance("stranger".into()),
            &listed(3)
        ),
        0
    );
}

#[test]
fn a_table_survives_its_snapshot_and_refuses_leases_past_the_quota() {
    let mut book = LeaseTable::default();
    let text = "language 1 edition 4 budget each target { connections 10 standing 2 }".to_owned();
    assert_eq!(
        book.apply(
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
    let grant = |instance: usize, number: u64, part: u32| {
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
                members: vec![part],
                trials: 0,
            }],
        })
    };
    assert_eq!(
        book.apply(1, &grant(0, 1, 10)),
        Outcome::Refused,
        "one stands for the other"
    );
    assert_eq!(book.apply(1, &grant(0, 1, 9)), Outcome::Applied);
    let mut again = LeaseTable::restore(&book.snapshot()).expect("is a book");
    for book in [&mut book, &mut again] {
        assert_eq!(book.apply(1, &grant(1, 1, 2)), Outcome::Refused);
        assert_eq!(
            book.apply(1, &grant(0, 2, 3)),
            Outcome::Applied,
            "the earlier one may be held still"
        );
        assert_eq!(book.apply(1, &grant(1, 1, 2)), Outcome::Refused);
        assert_eq!(
            book.apply(0, &grant(1, 1, 1)),
            Outcome::Refused,
            "an earlier leader's"
        );
        let instance = Instance("i0".into());
        assert_eq!(
            book.apply(
                2,
                &Command::Ended {
                    instance,
                    number: LeaseNumber(1)
                }
            ),
            Outcome::Applied
        );
        assert_eq!(book.apply(2, &grant(1, 1, 7)), Outcome::Applied);
    }
    assert!(LeaseTable::restore(b"no book").is_err() && decode::<Command>(&[9, 9, 9]).is_none());
}

#[test]
fn a_policy_that_counts_elsewhere_waits_for_the_leases_of_the_one_before() {
    let mut book = LeaseTable::default();
    let text = |edition, scope| {
        format!("language 1 edition {edition} budget {scope} {{ connections 10 standing 0 }}")
    };
    let agree = |text| Command::Policy {
        text,
        instances: listed(2),
    };
    book.apply(1, &agree(text(1, "each target")));
    let facts = Facts {
        target: "t".into(),
        destination: 3,
        ..Facts::default()
    };
    let mut holder = LeaseHolder::new(Instance("i0".into()), MemberIncarnation(1));
    let mut giver = LeaseIssuer::new(0.0, 100.0, &book);
    let mut now = 0.0;
    let mut ask = |book: &mut LeaseTable,
                   holder: &mut LeaseHolder,
                   giver: &mut LeaseIssuer,
                   edition|
     -> u32 {
        now += 2_000.0;
        holder.observe_open(now, &Default::default(), edition, |_| 0);
        let wants = PoolDemand {
            facts: facts.clone(),
            members: vec![6],
            trials: 0,
        };
        let report = holder.report(now, vec![wants]);
        let Some(command) = giver.reported(now, book, report) else {
            return 0;
        };
        let outcome = book.apply(1, &command);
        giver.applied(now, &command, outcome);
        let Command::Grant(grant) = command else {
            return 0;
        };
        if outcome == Outcome::Applied {
            holder.granted(&grant);
        }
        let pool = book
            .policy()
            .and_then(|(policy, _)| policy.pool(&facts))
            .expect("has a budget");
        holder.allowance(now, now, &pool, 0).total
    };
    assert_eq!(ask(&mut book, &mut holder, &mut giver, 1), 6);
    book.apply(1, &agree(text(2, "each destination")));
    assert_eq!(
        ask(&mut book, &mut holder, &mut giver, 2),
        0,
        "the other lease counts still"
    );
    let known = KnownNames::default();
    assert!(plankhill_connection_quotas::policy("p", &text(2, "each destination"), &known).is_ok());
    for _ in 0..8 {
        for command in giver.due(1e5, &book) {
            book.apply(1, &command);
        }
        if ask(&mut book, &mut holder, &mut giver, 2) == 6 {
            return;
        }
    }
    panic!("it is never given");
}
