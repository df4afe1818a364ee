//! Instances with their threads, disks and links.

// Not all of it is used by each test.
#[allow(dead_code)]
mod cluster;

use std::time::{Duration, Instant};

use cluster::{leader, Cluster};
use plankhill_raft_groups::{GroupRequest, Purpose};

const COPIES: &str = "[copies]\nkeepers = 2\n";

#[test]
fn an_event_log_outlives_its_owner_and_its_folder() {
    let mut all = Cluster::new(3, COPIES);
    let group = all.record(0);
    for number in 1..=20 {
        all.commit(0, group, number, vec![number as u8]);
    }
    all.until("the owner holds", |all| all.at(0).handle.holds_lease(group));
    assert!(!all.at(1).handle.holds_lease(group));
    all.lose(0);
    all.until("an heir leads", |all| {
        (1..3).any(|at| all.at(at).heard.leads.contains_key(&group))
    });
    let successor = (1..3)
        .find(|at| all.at(*at).heard.leads.contains_key(&group))
        .unwrap();
    let expected: Vec<u8> = (1..=20).collect();
    assert_eq!(all.at(successor).heard.leads[&group].1, expected);
    all.until("the heir holds", |all| {
        all.at(successor).handle.holds_lease(group)
    });
}

#[test]
fn all_instances_receive_the_control_groups_log_and_its_leader_receives_reports() {
    let mut all = Cluster::new(4, "[control]\nvoters = [\"i0\", \"i1\", \"i2\"]\n");
    let control = |all: &mut Cluster| {
        let leads = |at: &usize| !all.running[*at].as_ref().unwrap().heard.leads.is_empty();
        (0..4).find(leads)
    };
    all.until("it is led", |all| control(all).is_some());
    let first = control(&mut all).unwrap();
    let group = *all.at(first).heard.leads.keys().next().unwrap();
    all.commit(first, group, 1, vec![5]);
    let heard = |all: &mut Cluster, at: usize, word: u8| {
        let heard = &all.at(at).heard;
        heard.applied.contains(&vec![word])
            || heard.replaced.as_ref().is_some_and(|s| s.contains(&word))
    };
    all.until("all hear it", |all| (0..4).all(|at| heard(all, at, 5)));
    all.until("three vote", |all| {
        all.at(first).lines("control group voters changed voters=3") >= 1
    });
    let report = GroupRequest::Report { body: vec![9] };
    all.at(3).handle.try_request(report).unwrap();
    all.until("the report is heard", |all| {
        all.at(first).heard.reports.contains(&vec![9])
    });
    // A voter that comes back without its folder is let in again; the group outlives its first leader too.
    all.lose(first);
    all.start(first);
    all.until("another leads", |all| {
        (0..4).any(|at| at != first && !all.at(at).heard.leads.is_empty())
    });
    let second = control(&mut all).unwrap();
    all.commit(second, group, 1, vec![6]);
    all.until("the new life hears all", |all| {
        heard(all, first, 5) && heard(all, first, 6)
    });
}

#[test]
fn a_restarted_fleet_has_all_that_was_committed() {
    let mut all = Cluster::new(3, COPIES);
    let group = all.record(0);
    for number in 1..=5 {
        all.commit(0, group, number, vec![number as u8]);
    }
    for at in 0..3 {
        all.stop(at);
    }
    for at in 0..3 {
        all.start(at);
    }
    all.until("one leads", |all| leader(all, group).is_some());
    let at = leader(&mut all, group).unwrap();
    assert_eq!(all.at(at).heard.leads[&group].1, [1, 2, 3, 4, 5]);
    all.commit(at, group, 1, vec![6]);
}

#[test]
fn an_owner_without_a_majority_commits_nothing_and_discards_only_what_is_decided() {
    let mut all = Cluster::new(3, COPIES);
    let group = all.record(0);
    all.commit(0, group, 1, vec![1]);
    all.stop(1);
    all.stop(2);
    all.propose(0, group, 2, vec![2]);
    all.until("it holds no more", |all| {
        !all.at(0).handle.holds_lease(group)
    });
    all.until("it is deposed", |all| {
        !all.at(0).heard.leads.contains_key(&group)
    });
    all.propose(0, group, 3, vec![3]);
    // Kept by itself alone: open as long as it may still count, with what was refused after it.
    let open =
        |all: &mut Cluster| all.at(0).heard.committed.len() == 1 && all.at(0).heard.void.is_empty();
    assert!(open(&mut all));
    all.start(1);
    all.until("both are answered", |all| {
        all.at(0).heard.committed.len() + all.at(0).heard.void.len() == 3
    });
    all.until("one leads", |all| leader(all, group).is_some());
    let at = leader(&mut all, group).unwrap();
    let counts = all.at(0).heard.committed.contains(&(group, 2));
    assert_eq!(
        all.at(at).heard.leads[&group].1,
        if counts { vec![1, 2] } else { vec![1] }
    );
    assert!(all.at(0).heard.void.contains(&(group, 3)));
}

#[test]
fn a_dissolved_group_is_forgotten_by_all_and_not_made_again() {
    let mut all = Cluster::new(3, COPIES);
    let group = all.record(0);
    all.commit(0, group, 1, vec![1]);
    all.at(0)
        .handle
        .try_request(GroupRequest::Dissolve { group })
        .unwrap();
    let files = |all: &Cluster, at: usize, kind: &str| {
        let groups = std::fs::read_dir(all.folders[at].path().join("fleet/groups")).unwrap();
        groups
            .filter(|f| f.as_ref().unwrap().path().extension().unwrap() == kind)
            .count()
    };
    all.until("no log is left", |all| {
        (0..3).all(|at| files(all, at, "log") == 0 && files(all, at, "gone") == 1)
    });
}

#[test]
fn a_full_ring_gives_the_request_back_and_what_was_taken_is_answered() {
    let mut all = Cluster::new(3, COPIES);
    let group = all.record(0);
    // Nobody fetches the news: in the end no order is taken any more.
    let mut taken = 0;
    let end = Instant::now() + Duration::from_secs(60);
    loop {
        let order = GroupRequest::Propose {
            group,
            number: taken + 1,
            command: vec![0; 10],
        };
        match all.at(0).handle.try_request(order) {
            Ok(()) => taken += 1,
            Err(GroupRequest::Propose { number, .. }) if number > 8000 => break,
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
        assert!(Instant::now() < end, "{taken} were taken");
    }
    all.until("all are answered", |all| {
        let heard = &all.at(0).heard;
        (heard.committed.len() + heard.void.len()) as u64 == taken
    });
    let numbers: Vec<u64> = all
        .at(0)
        .heard
        .committed
        .iter()
        .map(|(_, number)| *number)
        .collect();
    assert!(numbers.is_sorted());
}

#[test]
fn nine_instances_replicate_each_others_event_logs_and_follow_one_control_group() {
    let mut all = Cluster::new(
        9,
        "[copies]\nkeepers = 2\n[control]\nvoters = [\"i0\", \"i1\", \"i2\"]\n",
    );
    for at in 0..9 {
        all.at(at)
            .handle
            .try_request(GroupRequest::Create {
                purpose: Purpose::EventLog,
            })
            .unwrap();
    }
    let own = |all: &mut Cluster, at: usize| {
        let me = all.at(at).handle.incarnation();
        let mut leads = all.at(at).heard.leads.iter();
        leads
            .find(|(group, (purpose, _))| group.founder == me && *purpose == Purpose::EventLog)
            .map(|(g, _)| *g)
    };
    let records = |all: &mut Cluster| (0..9).filter(|at| own(all, *at).is_some()).count();
    // The first also founds the control group.
    all.until("each leads its record", |all| records(all) == 9);
    let control = |all: &mut Cluster| {
        let purpose = |at: usize, all: &mut Cluster| {
            let mut leads = all.at(at).heard.leads.iter();
            leads
                .find(|(_, (purpose, _))| *purpose == Purpose::Control)
                .map(|(g, _)| (at, *g))
        };
        (0..9).find_map(|at| purpose(at, all))
    };
    all.until("one leads the control group", |all| control(all).is_some());
    let (at, group) = control(&mut all).unwrap();
    all.commit(at, group, 1, vec![4]);
    let heard = |all: &mut Cluster, at: usize| {
        let heard = &all.at(at).heard;
        heard.applied.contains(&vec![4])
            || heard
                .replaced
                .as_ref()
                .is_some_and(|state| state.contains(&4))
    };
    all.until("all hear it", |all| (0..9).all(|at| heard(all, at)));
}
