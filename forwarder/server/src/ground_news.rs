//! News of the fleet, handed to those whom they concern.

use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use plankhill_raft_groups::{GroupEvent, GroupEventStream, Purpose};
use slog::error;

use crate::clock::millis;
use crate::common::Common;
use crate::mail::CameIn;

/// Hands on what is news, and says meanwhile that the loop lives.
pub async fn run(
    common: Common,
    mut news: GroupEventStream,
    to_rounds: Sender<CameIn>,
    to_fanout: Sender<GroupEvent>,
) {
    let Some(ground) = common.ground.clone() else {
        return;
    };
    let often = ground.handle.borrow().stall().unwrap_or(ground.stall) / 8.0;
    let alive = async move {
        loop {
            ground.handle.borrow().alive();
            Timer::after(millis(often).max(Duration::from_millis(1))).await;
        }
    };
    let _alive = common.executor.spawn(alive);
    let ground = common.ground.clone();
    while let Some(news) = news.next().await {
        if let (Some(budgets), Some(ground)) = (&common.budgets, &ground) {
            budgets.news(ground, &common.log, &news);
        }
        if let (GroupEvent::Deposed { group }, true) = (&news, common.fanout.is_some()) {
            // Which group it is only those know that lead it.
            let _ = to_fanout.send(GroupEvent::Deposed { group: *group }).await;
        }
        if is_of_records(&news) {
            if to_rounds.send(CameIn::Ground(news)).await.is_err() {
                return;
            }
        } else if common.fanout.is_some() {
            let _ = to_fanout.send(news).await;
        }
    }
    error!(common.log, "the fleet's threads have ended");
}

/// What tells of the control group is not for the rounds: numbers of groups never led mean nothing to them.
fn is_of_records(news: &GroupEvent) -> bool {
    match news {
        GroupEvent::Elected { purpose, .. } => *purpose == Purpose::EventLog,
        GroupEvent::Deposed { .. }
        | GroupEvent::Committed { .. }
        | GroupEvent::Discarded { .. }
        | GroupEvent::PeerChanged { .. } => true,
        GroupEvent::Applied { .. }
        | GroupEvent::SnapshotInstalled { .. }
        | GroupEvent::ReportReceived { .. } => false,
    }
}
