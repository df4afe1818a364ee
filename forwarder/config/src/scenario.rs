//! A scenario of the emulator: a day with its destinations, clients, forwarders and troubles. Times are
//! milliseconds, shares lie between 0 and 1, rates are a second's. What each key means and what it defaults
//! to stands beside it; `docs/emulator.md` says what the model makes of it.

mod check;

pub use plankhill_decisions::interface::Ms;
use serde::{Deserialize, Serialize};

use crate::tables::Text;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// One sentence on what the day shows.
    pub about: String,
    pub length: Ms,
    #[serde(default)]
    pub seed: u64,
    /// A scenario that would need more memory than this is refused before it starts.
    #[serde(default = "memory_mb")]
    pub memory_mb: f64,
    #[serde(default)]
    pub forwarders: Forwarders,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub network: Network,
    pub clients: Clients,
    pub traffic: Vec<Traffic>,
    pub destinations: Vec<Group>,
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
    /// Only so many of the troubles, the first ones, are played: for sweeps over how many come together.
    #[serde(default)]
    pub troubles_played: Option<usize>,
}

/// Who decides at the forwarders: the module, or a baseline to hold it against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decider {
    #[default]
    Module,
    OneTry,
    Backoff,
    Breaker,
    Budget,
    Aimd,
}

impl Decider {
    pub const ALL: [(&'static str, Decider); 6] = [
        ("module", Decider::Module),
        ("one_try", Decider::OneTry),
        ("backoff", Decider::Backoff),
        ("breaker", Decider::Breaker),
        ("budget", Decider::Budget),
        ("aimd", Decider::Aimd),
    ];
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Forwarders {
    pub count: usize,
    pub decisions: Decider,
    /// What a baseline gives each call; the module knows better.
    pub time_out: Ms,
    pub slots: usize,
    /// Events held or with an unheard end; past it new ones are refused at the door.
    pub room: usize,
    /// The shortest time between two rounds of one forwarder.
    pub round: Ms,
    /// Ends of events that were taken on earlier go by a notice, heard after so long.
    pub notice: Ms,
    /// A change of the list is heard after a time drawn evenly from these two.
    pub list_delay: [Ms; 2],
    /// The share of changes that a hearing leaves out, to be heard with the next.
    pub list_partial: f64,
    /// How long the layer before the forwarders goes on sending to a dead one.
    pub front_lag: Ms,
    /// A process that ended in order is gone for so long.
    pub restart: Ms,
    /// The time that a process asked to end has.
    pub closing: Ms,
}

impl Default for Forwarders {
    fn default() -> Self {
        Forwarders {
            count: 3,
            decisions: Decider::Module,
            time_out: 2000.0,
            slots: 64,
            room: 2000,
            round: 0.0,
            notice: 5.0,
            list_delay: [200.0, 2000.0],
            list_partial: 0.0,
            front_lag: 2000.0,
            restart: 500.0,
            closing: 3400.0,
        }
    }
}

/// What the forwarders are told of the rules and what they are allowed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub sends_cap: u32,
    pub pings: bool,
    pub longest_advice: Option<Ms>,
    pub grace: Ms,
    pub key_rest: Ms,
    pub cold_share: f64,
    pub warm_after: Ms,
    pub tip_multiple: f64,
    /// A cold destination tips when so long a time brought more than the multiple.
    pub tip_span: Ms,
    /// And it then brought so many calls at least.
    pub tip_least: f64,
    /// A destination that tipped is down for so long.
    pub tipped: Ms,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            sends_cap: 6,
            pings: true,
            longest_advice: Some(2000.0),
            grace: 250.0,
            key_rest: 300.0,
            cold_share: 0.2,
            warm_after: 10_000.0,
            tip_multiple: 2.0,
            tip_span: 1000.0,
            tip_least: 5.0,
            tipped: 10_000.0,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Forwarders and targets are dealt out to the zones in turn.
    pub zones: Vec<String>,
    /// One way, in one zone and between two.
    pub within: Ms,
    pub between: Ms,
    /// The mean of what is added at random.
    pub jitter: Ms,
    /// The share of messages that never arrive.
    pub loss: f64,
    pub pairs: Vec<Pair>,
    /// Until a connection counts as refused.
    pub connect_time_out: Ms,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            zones: vec!["here".into()],
            within: 0.5,
            between: 3.0,
            jitter: 0.2,
            loss: 0.0,
            pairs: Vec::new(),
            connect_time_out: 1500.0,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pair {
    pub from: String,
    pub to: String,
    pub latency: Ms,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Events a second over the whole day.
    pub rate: f64,
    /// The exponent of the destinations' popularity; 0 is even.
    #[serde(default = "one")]
    pub zipf: f64,
    /// The share of arrivals that bring a clump, and the mean size of one.
    #[serde(default)]
    pub clumps: f64,
    #[serde(default = "ten")]
    pub clump_size: f64,
    /// The rate swings by this share over `day`.
    #[serde(default)]
    pub swing: f64,
    #[serde(default = "day")]
    pub day: Ms,
    /// Order keys, and the exponent of their popularity.
    #[serde(default = "keys")]
    pub keys: u64,
    #[serde(default = "one")]
    pub key_zipf: f64,
    /// Destinations are dealt out to tenants in turn.
    #[serde(default = "tenants")]
    pub tenants: usize,
    /// How often a dismissed event is handed in again, and after what mean pause without advice.
    #[serde(default = "returns")]
    pub returns: u32,
    #[serde(default = "pause")]
    pub pause: Ms,
    /// What could not be handed in, or was lost with a machine, comes again after this.
    #[serde(default = "again_after")]
    pub again_after: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    Retriable,
    Fingerprinted,
    Binding,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub name: String,
    pub effect: Repeats,
    /// For fingerprinted: how long a repeat is recognised, and whether in one zone only.
    #[serde(default)]
    pub window: Ms,
    #[serde(default)]
    pub one_zone: bool,
    pub soft_limit: Ms,
    pub patience: Ms,
    pub payoff: f64,
    #[serde(default)]
    pub payoff_at_end: f64,
    #[serde(default)]
    pub ordered: bool,
    pub share: f64,
    /// Multiplies the time that a destination takes.
    #[serde(default = "one")]
    pub work: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    pub name: String,
    #[serde(default = "one_usize")]
    pub count: usize,
    #[serde(default = "one_usize")]
    pub targets: usize,
    /// The group's share of the traffic; shares are put in relation to their sum.
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default)]
    pub routes_apart: bool,
    #[serde(default = "one_usize")]
    pub events_per_call: usize,
    /// At each target: calls served at once, and how many more wait.
    #[serde(default = "servers")]
    pub servers: usize,
    #[serde(default = "queue")]
    pub queue: usize,
    #[serde(default)]
    pub answer: Answer,
    #[serde(default)]
    pub limit: Limit,
    /// Connections that a target takes, what a new one costs on top of the way there and back, and after
    /// what time an idle one is dropped unseen. 0: no cap, no drop.
    #[serde(default)]
    pub connections: usize,
    #[serde(default)]
    pub set_up: Ms,
    #[serde(default)]
    pub reaped_after: Ms,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    Fixed,
    Exponential,
    LogNormal,
    /// Log-normal, but a share of the answers has a Pareto tail.
    Tailed,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Answer {
    pub shape: Shape,
    pub mean: Ms,
    /// The standard deviation of the logarithm.
    pub spread: f64,
    /// The share of answers from the tail, and the tail's exponent (over 1).
    pub tail: f64,
    pub alpha: f64,
    /// How far targets differ: each has a factor drawn evenly from 1 - this to 1 + this.
    pub differ: f64,
}

impl Default for Answer {
    fn default() -> Self {
        Answer {
            shape: Shape::LogNormal,
            mean: 50.0,
            spread: 0.5,
            tail: 0.01,
            alpha: 1.5,
            differ: 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    None,
    Rate,
    FixedWindow,
    SlidingWindow,
    Concurrency,
}

/// What a destination, or each route where they are apart, takes before it refuses.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limit {
    pub kind: LimitKind,
    /// Calls a second, a window, or at once.
    pub calls: f64,
    /// What a rate lets through at once.
    pub burst: f64,
    pub window: Ms,
    pub refused_count: bool,
    /// A refusal tells a wait: until the limit has room again, no shorter than this. 0: none is told.
    pub tells_wait: Ms,
    /// A cold destination bears no more than the limit lets through, put in relation to its warmth, though
    /// its answers do not slow down. Else it bears what its servers do.
    pub bears_cold: bool,
}

impl Default for Limit {
    fn default() -> Self {
        Limit {
            kind: LimitKind::None,
            calls: 10.0,
            burst: 5.0,
            window: 1000.0,
            refused_count: false,
            tells_wait: 0.0,
            bears_cold: false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Connections are refused.
    Down,
    /// Calls are taken and never run or answered.
    Silent,
    /// Calls run, and are answered too late for anyone.
    Hung,
    /// Answers take `strength` times as long.
    Slow,
    /// Down and up in turns of `every`.
    Flapping,
    /// A share `strength` of the calls is answered with an error, half of them after they ran.
    Erring,
    /// A share `strength` of the calls is cut off, half of them after they ran.
    Resetting,
    /// Limits and servers are multiplied by `strength`.
    LimitLowered,
    /// Connections that stood idle are dead and nobody says so.
    HalfOpen,
    /// The answers to a share `strength` of the forwarders get lost.
    CutOneWay,
    /// Told to leave, gone after `every`; listed anew at the end.
    Gone,
    /// Each target in turn leaves for a new one.
    Replaced,
    /// The list stands still for the forwarders struck.
    ListFrozen,
    /// Each destination struck gets `strength` events within the trouble's length.
    MassWake,
    /// The tenants or destinations struck get `strength` times the whole rate on top.
    Flood,
    /// Clients come back `strength` times as often, and at once.
    RetryStorm,
    /// The process dies; its folder is there when it starts again after `every`.
    ForwarderKilled,
    /// The machine is lost with all that it held.
    ForwarderLost,
    /// Nothing is done for the trouble's length.
    ForwarderStalled,
    /// Asked to end, and started again.
    ForwarderReplaced,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    pub start: Ms,
    pub length: Ms,
    #[serde(default = "one")]
    pub strength: f64,
    #[serde(default = "every")]
    pub every: Ms,
    /// Forwarders struck by a trouble of theirs are struck one after another, so far apart.
    #[serde(default)]
    pub apart: Ms,
    #[serde(default)]
    pub whom: Whom,
}

/// Whom a trouble strikes. Each key narrows the choice; without any it strikes all.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Whom {
    /// Destinations of this group.
    pub group: Option<String>,
    pub tenant: Option<usize>,
    /// The most used destinations, until they make up this share of the traffic.
    pub share_of_traffic: Option<f64>,
    /// A share of the destinations (or forwarders), drawn at random.
    pub at_random: Option<f64>,
    /// Targets in this zone only.
    pub zone: Option<String>,
    /// A share of the targets of each destination: the first ones.
    pub targets: Option<f64>,
    /// So many of the most used destinations (or of the forwarders).
    pub first: Option<usize>,
}

fn memory_mb() -> f64 {
    4096.0
}
fn one() -> f64 {
    1.0
}
fn ten() -> f64 {
    10.0
}
fn one_usize() -> usize {
    1
}
fn day() -> Ms {
    86_400_000.0
}
fn keys() -> u64 {
    1000
}
fn tenants() -> usize {
    1
}
fn returns() -> u32 {
    2
}
fn pause() -> Ms {
    1000.0
}
fn again_after() -> Ms {
    1000.0
}
fn servers() -> usize {
    8
}
fn queue() -> usize {
    32
}
fn every() -> Ms {
    1000.0
}

impl Scenario {
    pub fn longest_patience(&self) -> Ms {
        self.traffic
            .iter()
            .map(|traffic| traffic.patience)
            .fold(0.0, f64::max)
    }

    /// Reads and checks. A message is one line with file, line, key and what is allowed.
    pub fn read(text: &Text) -> Result<Scenario, String> {
        let mut scenario: Scenario = text.holds()?;
        check::check(&scenario).map_err(|(key, what)| text.wrong(&key, &what))?;
        if let Some(most) = scenario.troubles_played {
            scenario.faults.truncate(most);
        }
        Ok(scenario)
    }
}
