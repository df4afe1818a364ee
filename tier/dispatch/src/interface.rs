//! What the proxy hands to the dispatcher, and the commands that it gets back.

use std::net::SocketAddr;

use plankhill_decisions::interface::{AttemptOutcome, Ms};
use plankhill_protocol::ids::{InstanceId, ServiceName, ZoneName};

/// The proxy's own number of a request. One that was used must not be used again within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey(pub u64);

/// What the dispatcher is told once, at the start of its process.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Makes this proxy's random draws differ from those of the others.
    pub seed: u64,
    /// The proxy's zone.
    pub zone: ZoneName,
    /// Most requests held or out at once; beyond it what cannot go makes way, the least urgent first.
    pub most_requests: usize,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// Idempotent routes, and streams that may be resumed.
    Allowed,
    /// Everything else: at most one run.
    Forbidden,
}

/// A part of a prompt, as `Prefix-Hash` names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixPart {
    /// Equal ids are equal text.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A request, read whole from the client.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Names it in everything that follows.
    pub key: RequestKey,
    /// The service, already drawn where the route splits between several.
    pub service: ServiceName,
    /// Whether it may run more than once.
    pub repeats: Repeats,
    /// A hash of the `Session` header on `streaming` routes; none on others, which wait behind nothing.
    pub session: Option<u64>,
    /// When the answer is due: the earlier of the client's deadline and the route's time-out.
    pub deadline: Ms,
    /// The route's `target_latency_ms`.
    pub objective: Ms,
    /// The route's `max_attempts`.
    pub max_attempts: u32,
    /// The route's `priority`: 0 is highest.
    pub priority: u8,
    /// `Finish-Ms`: what the program has left, negative if it is late.
    pub finish_left: Option<Ms>,
    /// `Prefix-Hash`, in order; empty where the route has no `session_affinity`.
    pub prefix: Vec<PrefixPart>,
}

/// `Upstream-Load` of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that the target works on.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it works on at most.
    pub slots: u32,
}

/// How a call ended.
///
/// The fates, as the proxy has to report them:
/// - `Delivered`: the answer (any status below 500 without `Not-Executed`) has come whole;
/// - `Error`: the target ran the request and answered with a failure;
/// - `Full`: the answer says `Not-Executed` (or is a 421): surely not run;
/// - `TimedOut`: no whole answer within the time that was given;
/// - `NoConnection`: no connection came up, nothing was written;
/// - `Reset`: the connection broke after something was written: it may have run;
/// - `Cancelled`: the proxy gave the call up (the client left, or the answer cannot be read): it may have run;
/// - `NotSent`: the proxy wrote nothing of it.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    /// How.
    pub fate: AttemptOutcome,
    /// From the send until the end of the answer's head, or until the call ended without one.
    pub took: Ms,
    /// The target's `Retry-After`.
    pub retry_after: Option<Ms>,
    /// The target's `Upstream-Load`, if the answer's end is the first to tell it; see `Dispatcher::load_seen`.
    pub load: Option<UpstreamLoad>,
    /// The longest pause between two pieces of the answer, the first piece included.
    pub longest_pause: Option<Ms>,
}

impl Ended {
    /// With nothing known but the fate.
    pub fn plain(fate: AttemptOutcome) -> Self {
        Ended {
            fate,
            took: 0.0,
            retry_after: None,
            load: None,
            longest_pause: None,
        }
    }
}

/// The answer to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PingAnswer {
    /// 200 with the `Instance-Id` that was asked for.
    Healthy,
    /// Any other answer, or none.
    Unhealthy,
}

/// What the proxy is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sends the request to the target, with `Expected-Instance`; `Dispatcher::ended` has to follow.
    Send {
        /// Which.
        request: RequestKey,
        /// To which target.
        target: InstanceId,
        /// Where that listens.
        address: SocketAddr,
        /// The call ends as timed out then: the request's deadline, or earlier if another call may follow.
        deadline: Ms,
        /// The value of the `Priority` header.
        priority: u8,
    },
    /// Final: 503 with `Retry-After`; the request has surely not run and never will.
    Refuse {
        /// Which.
        request: RequestKey,
        /// When the client is to come back.
        retry_after: Ms,
    },
    /// Final: the request may have run. The last target's own failure if it came whole; otherwise 504 after a
    /// time-out and 502 after anything else; an answer already begun is cut.
    Fail {
        /// Which.
        request: RequestKey,
        /// How its last call ended.
        last: AttemptOutcome,
    },
    /// Asks for the service's health check; `Dispatcher::pinged` has to follow.
    Ping {
        /// Which target.
        target: InstanceId,
        /// Where that listens.
        address: SocketAddr,
    },
    /// Closes the connections to the target that no call uses.
    CloseIdle {
        /// Which target.
        target: InstanceId,
    },
    /// Calls to the target of which nothing is written yet are not to be written: they end as `NotSent`.
    TakeBack {
        /// Which target.
        target: InstanceId,
    },
    /// `Dispatcher::commands` is to be called then, if nothing else calls for it earlier. Replaces any earlier
    /// one; a round without it needs no wake-up.
    WakeAt(Ms),
}
