//! Connection budgets shared by several processes: the number of connections that a target has open at once stays
//! within the budget, also during faults.

use std::time::Duration;

use plankhill_process_tests::{wait_until, Cluster, ClusterOptions, TargetBehavior};
use rstest::rstest;

/// Maximum number of connections to a target from all instances.
const BUDGET: usize = 6;
/// Number of connections that all instances together may open without a lease.
const STANDING: usize = 3;

/// Starts three instances and waits until one leads the control group that grants leases; targets answer after
/// 100 ms.
fn start_with_budget() -> Cluster {
    let lease = "lease { lasts 4s renew 200ms drift 1% }";
    let budget = format!("budget each target {{ connections {BUDGET} standing {STANDING} }}");
    let quota_policy = Some(format!("language 1 edition 1\n{lease}\n{budget}\n"));
    let mut cluster = Cluster::new(
        3,
        &ClusterOptions {
            quota_policy,
            max_open_events: 4_000,
            ..ClusterOptions::default()
        },
    );
    cluster.start_all();
    wait_until("a leader of the control group", || {
        (0..3).any(|instance| {
            cluster
                .process(instance)
                .log_count("connection quotas: leads the control group,")
                > 0
        })
    });
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::from_millis(100)));
    cluster
}

fn assert_within_budget(cluster: &Cluster) {
    for target in &cluster.targets {
        assert!(
            target.max_open_connections() <= BUDGET,
            "{} connections were open at once",
            target.max_open_connections()
        );
    }
}

/// Waits until leases are in use: more connections are open than are allowed without leases.
fn wait_until_leases_used(cluster: &Cluster) {
    wait_until("more open connections than without leases", || {
        cluster
            .targets
            .iter()
            .any(|target| target.max_open_connections() > STANDING)
    });
}

#[test]
fn all_instances_together_stay_within_the_budget_and_use_leases() {
    let mut cluster = start_with_budget();
    let load = cluster.load(1, 9);
    wait_until_leases_used(&cluster);
    load.wait_for_accepted(300);
    load.stop();
    cluster.check_invariants();
    assert_within_budget(&cluster);
}

#[rstest]
#[case::killed(Cluster::kill, Cluster::start)]
#[case::suspended(Cluster::suspend, Cluster::resume)]
#[case::isolated(Cluster::isolate, Cluster::heal)]
fn the_budget_is_not_exceeded_during_a_fault(
    #[case] fault: fn(&mut Cluster, usize),
    #[case] recover: fn(&mut Cluster, usize),
    #[values(0, 2)] instance: usize,
) {
    let mut cluster = start_with_budget();
    let load = cluster.load(2, 9);
    wait_until_leases_used(&cluster);
    load.wait_for_accepted(60);
    fault(&mut cluster, instance);
    load.wait_for_accepted(100);
    recover(&mut cluster, instance);
    load.wait_for_accepted(60);
    load.stop();
    cluster.check_invariants();
    assert_within_budget(&cluster);
}

#[test]
fn an_invalid_policy_fails_the_start_with_its_position_and_key() {
    let quota_policy =
        Some("language 1 edition 1\nbudget each target { conections 3 }\n".to_owned());
    let mut cluster = Cluster::new(
        3,
        &ClusterOptions {
            quota_policy,
            ..ClusterOptions::default()
        },
    );
    cluster.launch(0);
    let message = "pools.policy:2:22: conections: cannot stand here; did you mean `connections`?";
    cluster.process(0).wait_for_log(message, 0);
    assert!(!cluster.instances[0].process.wait_for_exit());
}

#[test]
fn without_a_shared_budget_instances_open_more_connections() {
    let mut cluster = Cluster::new(
        3,
        &ClusterOptions {
            max_open_events: 4_000,
            ..ClusterOptions::default()
        },
    );
    cluster.start_all();
    cluster.set_target_behavior(TargetBehavior::Respond(Duration::from_millis(100)));
    let load = cluster.load(1, 9);
    wait_until("more open connections than the budget", || {
        cluster
            .targets
            .iter()
            .any(|target| target.max_open_connections() > BUDGET)
    });
    load.stop();
    cluster.check_invariants();
}
