//! Reads that the tail answers.

use crate::model::{Bounds, InjectedBug};
use crate::state::{Violation, World};

use super::{identity, machine_of};

pub(super) fn confirm(world: &mut World, voter: u8) {
    let machine = machine_of(world, voter);
    let view = machine.view.number;
    let may_confirm =
        machine.view.votes(identity(world, voter)) && machine.acceptor.promised.is_none();
    let Some(read) = world.read.as_mut() else {
        return;
    };
    if may_confirm && read.view == view {
        read.confirmed.insert(voter);
    }
}

pub(super) fn answer_read(bounds: &Bounds, world: &mut World) {
    let Some(read) = &world.read else { return };
    let tail = machine_of(world, read.tail.machine);
    let is_still_tail =
        identity(world, read.tail.machine) == read.tail && tail.view.number == read.view;
    let is_confirmed = read.confirmed.len() >= tail.view.majority()
        || bounds.has_bug(InjectedBug::UnconfirmedReads);
    if !is_still_tail || !is_confirmed {
        return;
    }
    if read.revision < read.acknowledged {
        world.violation = Some(Violation::StaleRead);
    }
    world.read = None;
}
