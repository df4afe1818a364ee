//! Tests configuration changes on three controllers with persistent disks, while some controllers
//! are killed or lose their disks.

mod cluster;
mod common;

use cluster::Cluster;
use common::{configuration, configuration_with, heartbeat};
use hyper::StatusCode;

const ALL: [usize; 3] = [0, 1, 2];
/// Reads from each controller after each change.
const READS_PER_CONTROLLER: usize = 10;
/// White space that makes a document as long as one with many routes.
const PADDING_BYTES: usize = 200_000;

/// Returns the same configuration as a long document.
fn padded(document: &str) -> String {
    format!("{}{document}", " ".repeat(PADDING_BYTES))
}

fn others(machine: usize) -> Vec<usize> {
    ALL.into_iter().filter(|other| *other != machine).collect()
}

#[test]
fn acknowledged_puts_survive_the_loss_of_the_head() {
    let mut cluster = Cluster::bootstrap();
    assert_eq!(cluster.put(&ALL, 0, &configuration(5)), StatusCode::OK);
    let head = cluster.head(0);
    cluster.kill(head);
    let remaining = others(head);
    for machine in &remaining {
        assert_eq!(
            cluster.put(&[*machine], 0, &configuration(5)),
            StatusCode::OK
        );
        assert_eq!(cluster.get(*machine), configuration(5));
    }
    assert_eq!(
        cluster.put(&remaining, 5, &configuration(7)),
        StatusCode::OK
    );
    assert_eq!(
        cluster.put(&remaining, 5, &configuration_with(7, 2)),
        StatusCode::PRECONDITION_FAILED
    );
    cluster.start(head, false);
    assert_eq!(cluster.get(head), configuration(7));
    assert_eq!(cluster.put(&[head], 0, &configuration(5)), StatusCode::OK);
}

#[test]
fn a_controller_with_a_lost_disk_reads_the_newest_configuration() {
    let mut cluster = Cluster::bootstrap();
    assert_eq!(cluster.put(&ALL, 0, &configuration(5)), StatusCode::OK);
    cluster.kill(1);
    cluster.replace_disk(1);
    cluster.start(1, false);
    assert_eq!(cluster.get(1), configuration(5));
    assert_eq!(cluster.put(&[1], 5, &configuration(7)), StatusCode::OK);
}

#[test]
fn acknowledged_writes_survive_a_kill_of_all_controllers() {
    let mut cluster = Cluster::bootstrap();
    assert_eq!(cluster.put(&ALL, 0, &configuration(5)), StatusCode::OK);
    let target = heartbeat("draining", 3);
    let path = "/-/instances/i-1";
    assert_eq!(
        cluster
            .call_until_definite(&ALL, "PUT", path, None, &target)
            .0,
        StatusCode::OK
    );
    for machine in ALL {
        cluster.kill(machine);
    }
    for machine in ALL {
        cluster.start(machine, false);
    }
    assert_eq!(cluster.put(&ALL, 5, &configuration(9)), StatusCode::OK);
    for machine in ALL {
        assert_eq!(cluster.get(machine), configuration(9));
    }
}

/// Reads the configuration repeatedly from each controller after one or more controllers were
/// killed and restarted together.
#[test]
fn repeated_reads_return_the_complete_newest_configuration() {
    let mut cluster = Cluster::bootstrap();
    let mut current = 0;
    for (version, killed) in [(5, vec![0]), (9, vec![1, 2]), (12, vec![0, 1, 2])] {
        let document = padded(&configuration(version));
        assert_eq!(cluster.put(&ALL, current, &document), StatusCode::OK);
        current = version;
        for machine in &killed {
            cluster.kill(*machine);
        }
        for machine in &killed {
            cluster.start(*machine, false);
        }
        for _ in 0..READS_PER_CONTROLLER {
            for machine in ALL {
                assert!(cluster.get(machine) == document, "version {version}");
            }
        }
    }
}

#[test]
fn a_single_controller_acknowledges_nothing() {
    let mut cluster = Cluster::bootstrap();
    assert_eq!(cluster.put(&ALL, 0, &configuration(5)), StatusCode::OK);
    cluster.kill(1);
    cluster.kill(2);
    let response = cluster.call(0, "PUT", "/-/config", Some(5), &configuration(7));
    assert_eq!(
        response.map(|(status, _)| status),
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
    let response = cluster.call(0, "GET", "/-/config", None, "");
    assert_eq!(
        response.map(|(status, _)| status),
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
}
