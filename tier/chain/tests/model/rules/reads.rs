//! Reads that the tail answers.

use crate::model::{Bounds, Planted};
use crate::state::{Broken, World};

use super::{identity, of};

pub(super) fn confirm(world: &mut World, voter: u8) {
    let (me, machine) = (identity(world, voter), of(world, voter));
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
    let tail = of(world, read.tail.machine);
    let is_there = identity(world, read.tail.machine) == read.tail && tail.view.number == read.view;
    let asked =
        read.confirmed.len() >= tail.view.majority() || bounds.plants(Planted::TailDoesNotAsk);
    if !is_there || !asked {
        return;
    }
    if read.revision < read.owed {
        world.broken = Some(Broken::OldRead);
    }
    world.read = None;
}
