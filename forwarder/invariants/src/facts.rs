//! What can happen, as far as a rule asks for it. Numbers are whatever the teller uses as identities.

/// Milliseconds with fractions.
pub type Ms = f64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
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

impl Rule {
    /// What holds over several forwarders, beside the six rules of each.
    pub const FLEET: [Rule; 3] = [Rule::NothingLost, Rule::WithinBudget, Rule::OneServer];

    /// The six rules of a forwarder.
    pub const ALL: [Rule; 6] = [
        Rule::OneEnd,
        Rule::NoEffectTwice,
        Rule::DrainsKept,
        Rule::NotPushedOver,
        Rule::KeyOrder,
        Rule::WaitsHeeded,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Rule::OneEnd => "one end within patience",
            Rule::NoEffectTwice => "no effect twice",
            Rule::DrainsKept => "drains kept",
            Rule::NotPushedOver => "returning destinations not pushed over",
            Rule::KeyOrder => "key order",
            Rule::WaitsHeeded => "waits heeded",
            Rule::NothingLost => "nothing promised is lost",
            Rule::WithinBudget => "connections within their budget",
            Rule::OneServer => "one server for each subscriber",
        }
    }
}

/// What a repeat of an event does at its destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Retriable,
    /// A repeat is recognised for `window` after the first, in one group of targets or in all.
    Fingerprinted {
        window: Ms,
        one_group: bool,
    },
    Binding,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Completed,
    Dismissed,
    WrittenOff,
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
pub enum Fact {
    /// A forwarder owes the event its end from now on. `origin` is the same for all that stand for one
    /// effect at the destination, as when a client hands an event in again.
    Taken {
        forwarder: u32,
        event: u64,
        origin: u64,
        effect: Effect,
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
        end: End,
        /// The end counts as over only with the [`Fact::Heard`] that follows.
        by_notice: bool,
    },
    Heard {
        event: u64,
    },
    /// The effect of the event came about at its destination.
    Applied {
        event: u64,
        origin: u64,
        effect: Effect,
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
pub struct Breach {
    pub at: Ms,
    pub rule: Rule,
    pub what: String,
}
