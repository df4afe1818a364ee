//! What can happen, as far as a rule asks for it. Numbers are whatever the teller uses as identities.

/// Milliseconds with fractions.
pub type Ms = f64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    OneEnd,
    NoEffectTwice,
    DrainsKept,
    NotPushedOver,
    KeyOrder,
    WaitsHeeded,
    NothingLost,
    WithinBudget,
    OneServer,
}

impl Invariant {
    /// What holds over several forwarders, beside the six rules of each.
    pub const FLEET: [Invariant; 3] = [
        Invariant::NothingLost,
        Invariant::WithinBudget,
        Invariant::OneServer,
    ];

    /// The six rules of a forwarder.
    pub const ALL: [Invariant; 6] = [
        Invariant::OneEnd,
        Invariant::NoEffectTwice,
        Invariant::DrainsKept,
        Invariant::NotPushedOver,
        Invariant::KeyOrder,
        Invariant::WaitsHeeded,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Invariant::OneEnd => "one end within patience",
            Invariant::NoEffectTwice => "no effect twice",
            Invariant::DrainsKept => "drains kept",
            Invariant::NotPushedOver => "returning destinations not pushed over",
            Invariant::KeyOrder => "key order",
            Invariant::WaitsHeeded => "waits heeded",
            Invariant::NothingLost => "nothing promised is lost",
            Invariant::WithinBudget => "connections within their budget",
            Invariant::OneServer => "one server for each subscriber",
        }
    }
}

/// What a repeat of an event does at its destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    /// A repeat is recognised for `window` after the first, in one group of targets or in all.
    Deduplicated {
        window: Ms,
        one_group: bool,
    },
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    Completed,
    Rejected,
    Abandoned,
}

/// How a send ended for the forwarder that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Answered as done.
    Delivered,
    /// Surely not run: refused, not connected, taken back.
    NotRun,
    /// Answered with an error: may have run, and is over at the destination.
    Error,
    /// Timed out, reset or cancelled: may have run, and may still be running.
    Short,
}

#[derive(Clone, Debug)]
pub enum Observation {
    /// A forwarder owes the event its end from now on. `origin` is the same for all that stand for one
    /// effect at the destination, as when a client hands an event in again.
    Taken {
        forwarder: u32,
        event: u64,
        origin: u64,
        effect: Idempotency,
        key: Option<u64>,
        patience_ends: Ms,
    },
    /// The first byte of a call with this event leaves. `lane` is what shares one limit and one wait.
    Sent {
        forwarder: u32,
        event: u64,
        target: u32,
        group: u32,
        lane: u32,
    },
    Pinged {
        forwarder: u32,
        target: u32,
        lane: u32,
    },
    SendOver {
        forwarder: u32,
        event: u64,
        cut: Cut,
    },
    Ended {
        forwarder: u32,
        event: u64,
        end: Completion,
        /// The end counts as over only with the [`Observation::Heard`] that follows.
        by_notice: bool,
    },
    Heard {
        event: u64,
    },
    /// The effect of the event came about at its destination.
    Applied {
        event: u64,
        origin: u64,
        effect: Idempotency,
    },
    /// A forwarder was told that the target drains or is gone, or (`leaves` false) that it is there.
    Listed {
        forwarder: u32,
        target: u32,
        leaves: bool,
    },
    /// A forwarder was told to send nothing to the lane before then.
    Wait {
        forwarder: u32,
        lane: u32,
        until: Ms,
    },
    OutageBegan {
        lane: u32,
    },
    /// A call or ping of the forwarder failed at the lane or was refused.
    SawFailure {
        forwarder: u32,
        lane: u32,
    },
    /// A cold lane fell over under this load, by forwarder.
    Tipped {
        lane: u32,
        load: Vec<(u32, f64)>,
    },
    /// The lane is warm again.
    Warm {
        lane: u32,
    },
    /// The forwarder cannot act (it is dead or stands still); what it owes is owed on.
    Halted {
        forwarder: u32,
    },
    Resumed {
        forwarder: u32,
        /// It is a new process: which waits it was told is not known to it.
        anew: bool,
    },
    /// The client of an event that was told as taken heard no answer: whether it was taken on is open, and
    /// no end of it is owed. All else holds for it.
    Unpromised {
        event: u64,
    },
    /// So many connections may be open at the target, from all forwarders together, idle ones counted.
    Budget {
        target: u32,
        most: u32,
    },
    Opened {
        forwarder: u32,
        target: u32,
    },
    Closed {
        forwarder: u32,
        target: u32,
    },
    /// The forwarder sends the subscriber its copies of broadcasts from now on.
    Serves {
        forwarder: u32,
        subscriber: u32,
    },
    ServesNoMore {
        forwarder: u32,
        subscriber: u32,
    },
    /// What the forwarder had taken is gone with its machine, and its clients know.
    Lost {
        event: u64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub at: Ms,
    pub rule: Invariant,
    pub what: String,
}
