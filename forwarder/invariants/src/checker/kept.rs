//! What the checker keeps of an event, a key, a forwarder, a target and a subscriber.

use std::collections::{HashMap, VecDeque};

use crate::facts::{Idempotency, Ms};

pub(super) struct Owed {
    /// Who took it on. Its place among those of its key stays there, whoever has it now.
    pub(super) forwarder: u32,
    pub(super) effect: Idempotency,
    pub(super) key: Option<u64>,
    pub(super) patience_ends: Ms,
    pub(super) out: bool,
    /// When and in which group the first send went that may have run.
    pub(super) may_have_run: Option<(Ms, u32)>,
    pub(super) sent: (Ms, u32),
    pub(super) ended: bool,
    pub(super) unheard: bool,
    /// Its client heard no answer: it may have been taken on or not, and no end is owed.
    pub(super) unpromised: bool,
}

#[derive(Default)]
pub(super) struct Line {
    pub(super) queue: VecDeque<u64>,
    pub(super) rests_until: Ms,
    pub(super) rests_for: u64,
}

#[derive(Default)]
pub(super) struct Forwarder {
    pub(super) halted: bool,
    /// When it last resumed, and when it had halted.
    pub(super) pause: Option<(Ms, Ms)>,
    pub(super) leaving: HashMap<u32, Ms>,
    pub(super) waits: HashMap<u32, Ms>,
}

/// The first time an origin's effect came about, while that can matter.
pub(super) struct Applied {
    pub(super) at: Ms,
    pub(super) event: u64,
}

/// Connections that forwarders have open at a target.
#[derive(Default)]
pub(super) struct Door {
    pub(super) most: Option<u32>,
    pub(super) open: HashMap<u32, u32>,
}

/// Who serves a subscriber; the first is the one that should.
#[derive(Default)]
pub(super) struct Served {
    pub(super) by: Vec<u32>,
}
