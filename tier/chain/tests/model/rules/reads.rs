//! Reads that the tail answers.

use crate::model::{Bounds, InjectedBug};
use crate::state::{Violation, World};

use super::{identity, machine_of};

pub(super) fn confirm(world: &mut World, voter: u8) {
    let (me, machine) = (identity(world, voter), machine_of(world, voter));
    let (view, is_open) = (machine.view.number, machine.acceptor.promised.is_none());
    let votes = machine.view.votes(me);
    if let Some(read) = world
        .read
        .as_mut()
        .filter(|read| read.view == view && is_open && votes)
    {
        read.confirmed.insert(voter);
    }
}

pub(super) fn answer_read(bounds: &Bounds, world: &mut World) {
    let Some(read) = &world.read else { return };
    let tail = machine_of(world, read.tail.machine);
    let is_there = identity(world, read.tail.machine) == read.tail && tail.view.number == read.view;
    let proposed_view = read.confirmed.len() >= tail.view.majority()
        || bounds.has_bug(InjectedBug::UnconfirmedReads);
    if !is_there || !proposed_view {
        return;
    }
    if read.revision < read.acknowledged {
        world.violation = Some(Violation::StaleRead);
    }
    world.read = None;
}
