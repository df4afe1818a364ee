//! A chain of real members: sockets, disks, threads.

mod common;

use common::{free_address, three, Machine, PATIENCE};

#[tokio::test(flavor = "current_thread")]
async fn operations_of_all_members_are_ordered_once() {
    let machines = three().await;
    for machine in &machines {
        machine.until_reaches_others().await;
    }
    for (count, machine) in machines.iter().enumerate() {
        assert_eq!(machine.say("word").await, count + 1);
    }
    for machine in &machines {
        let state = machine.log().read(PATIENCE).await.unwrap();
        assert_eq!(state.state.0.len(), 3);
    }
}

#[tokio::test(flavor = "current_thread")]
async fn the_chain_goes_on_without_a_link_and_takes_it_back() {
    let mut machines = three().await;
    machines[0].until_reaches_others().await;
    machines[0].say("one").await;
    for dead in 0..3 {
        machines[dead].kill().await;
        let alive = &machines[(dead + 1) % 3];
        alive.until(|standing| standing.chain.len() == 2).await;
        alive.say("more").await;
        machines[dead].settings.bootstrap = false;
        machines[dead].start();
        machines[dead]
            .until(|standing| standing.in_chain && standing.chain.len() == 3)
            .await;
    }
    let state = machines[1].log().read(PATIENCE).await.unwrap();
    assert_eq!(state.state.0.len(), 4);
}

#[tokio::test(flavor = "current_thread")]
async fn a_lost_disk_and_a_new_machine_are_filled_before_they_count() {
    let mut machines = three().await;
    machines[0].until_reaches_others().await;
    machines[0].say("one").await;
    machines[2].kill().await;
    machines[2].wipe();
    machines[2].start();
    let standing = machines[2]
        .until(|standing| standing.in_chain && standing.chain.len() == 3)
        .await;
    assert_eq!(standing.voters.len(), 3);
    assert_eq!(
        machines[2].log().read(PATIENCE).await.unwrap().state.0,
        ["one"]
    );

    machines[0].kill().await;
    let seeds = machines[1].settings.seeds.clone();
    let mut successor = Machine::new("d", free_address().await, seeds, false);
    successor.start();
    let names = |standing: &plankhill_replica::ReplicaStatus| {
        standing
            .voters
            .iter()
            .map(|voter| voter.identity.node.to_string())
            .collect::<Vec<_>>()
    };
    let standing = successor
        .until(|standing| {
            standing.in_chain && standing.chain.len() == 3 && standing.voters.len() == 3
        })
        .await;
    assert_eq!(names(&standing), ["b", "c", "d"]);
    assert_eq!(successor.say("two").await, 2);
}

#[tokio::test(flavor = "current_thread")]
async fn everything_is_there_after_all_were_killed_and_one_wiped() {
    let mut machines = three().await;
    machines[0].until_reaches_others().await;
    machines[0].say("one").await;
    for machine in &mut machines {
        machine.kill().await;
        machine.settings.bootstrap = false;
    }
    machines[0].wipe();
    machines.iter_mut().for_each(Machine::start);
    machines[0]
        .until(|standing| standing.in_chain && standing.chain.len() == 3)
        .await;
    assert_eq!(
        machines[0].log().read(PATIENCE).await.unwrap().state.0,
        ["one"]
    );
}

#[tokio::test(flavor = "current_thread")]
async fn an_orderly_end_leaves_the_chain_first() {
    let machines = three().await;
    machines[0].until_reaches_others().await;
    machines[0].log().leave().await;
    let standing = machines[1]
        .until(|standing| standing.chain.len() == 2)
        .await;
    assert_eq!(standing.voters.len(), 3);
}

#[tokio::test(flavor = "current_thread")]
async fn a_member_alone_says_so_at_once() {
    let mut machines = three().await;
    machines[1].kill().await;
    machines[2].kill().await;
    machines[0].until_cut_off().await;
    let asked = std::time::Instant::now();
    assert!(machines[0]
        .log()
        .propose("lost".into(), PATIENCE)
        .await
        .is_err());
    assert!(machines[0].log().read(PATIENCE).await.is_err());
    assert!(asked.elapsed() < PATIENCE / 2);
}
