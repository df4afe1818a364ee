//! One forwarder: the decision module as it is, and its station.

use std::collections::HashMap;

use plankhill_decisions::decide::Forwarder;
use plankhill_decisions::interface::*;
use plankhill_fanout::*;

pub type Copy = (Subscriber, Position);

pub fn terms(instance: u64, forwarders: usize, slots: usize, patience: Ms) -> Terms {
    let traffic = TrafficType {
        effect: Effect::Retriable,
        soft_limit: 1000.0,
        patience,
        payoff: 1.0,
        payoff_at_end: 0.2,
        ordered: false,
    };
    Terms {
        seed: 7,
        instance,
        forwarders: forwarders as f64,
        traffic: vec![traffic],
        kinds: vec![DestinationKind {
            routes_apart: false,
            events_per_call: 1,
        }],
        slots,
        room: 4000,
        sends_cap: 6,
        pings_allowed: true,
        longest_advice: Some(2000.0),
        over_share_worth: 1.0,
        cold_share: 0.2,
        warm_after: 10_000.0,
        tip_multiple: 2.0,
        key_rest: 300.0,
        ..Terms::default()
    }
}

pub enum CameIn {
    HandIn(EventId, Copy, Ms),
    CallEnds(EventId, Fate, Ms),
    PingEnds(TargetId),
    Wake,
}

/// What leaves with a round.
#[derive(Default)]
pub struct Leaves {
    pub calls: Vec<(EventId, Copy, Ms)>,
    pub pings: Vec<TargetId>,
    pub wake: Option<Ms>,
    ended: Vec<(EventId, Outcome)>,
    copies: HashMap<EventId, Copy>,
}

pub struct Instance {
    pub station: Station,
    pub applied: usize,
    pub stalled: Ms,
    pub wake_at: Option<Ms>,
    module: Forwarder,
    leaves: Leaves,
}

impl Host for Leaves {
    fn owes(&self, event: &EventId) -> bool {
        self.copies.contains_key(event)
    }
}

impl Instance {
    pub fn new(id: u64, terms: Terms, subscribers: u64) -> Self {
        let mut module = Forwarder::start(terms, 0.0);
        let list = |module: &mut Forwarder, _: &mut Leaves| -> Known {
            for s in 0..subscribers {
                let target = TargetId(format!("t{s}").into());
                module.listed(
                    target,
                    DestinationId(s),
                    KindId(0),
                    ZoneId(0),
                    Listing::Running,
                );
            }
            Ok(())
        };
        let mut leaves = Leaves::default();
        let _ = module.round(0.0, list, &mut leaves);
        let station = Station::new(InstanceId(id), 1, Fanout::default());
        Instance {
            station,
            applied: 0,
            stalled: 0.0,
            wake_at: None,
            module,
            leaves,
        }
    }

    /// What the log says, up to its end; then the copies that it hands over.
    pub fn hears(&mut self, now: Ms, log: &[Command]) -> Vec<CameIn> {
        let mut came = Vec::new();
        for command in &log[self.applied..] {
            for order in self.station.applied(now, &self.leaves, command.clone()) {
                match order {
                    Order::HandIn {
                        event,
                        subscriber,
                        position,
                        patience_ends,
                    } => {
                        came.push(CameIn::HandIn(event, (subscriber, position), patience_ends));
                    }
                    Order::TellEnd {
                        subscriber,
                        position,
                        outcome,
                        ..
                    } => {
                        self.station.over(now, (subscriber, position), outcome);
                    }
                    _ => (),
                }
            }
        }
        self.applied = log.len();
        came
    }

    pub fn round(&mut self, now: Ms, came: Vec<CameIn>) -> (Leaves, Vec<(Copy, Outcome)>) {
        let mut delivered = Vec::new();
        let hand_over = |module: &mut Forwarder, leaves: &mut Leaves| -> Known {
            for what in came {
                match what {
                    CameIn::HandIn(event, copy, patience_ends) => {
                        leaves.copies.insert(event.clone(), copy);
                        module.taken(event, copy.0, TrafficId(0), patience_ends, None);
                    }
                    CameIn::CallEnds(event, fate, took) => {
                        if fate == Fate::Delivered {
                            delivered.push((event.clone(), Outcome::Completed));
                        }
                        module.send_ended(
                            &event,
                            Ended {
                                took,
                                ..Ended::plain(fate)
                            },
                        )?;
                    }
                    CameIn::PingEnds(target) => module.ping_ended(&target, Fate::Delivered)?,
                    CameIn::Wake => (),
                }
            }
            Ok(())
        };
        self.module
            .round(now, hand_over, &mut self.leaves)
            .expect("all is introduced");
        let copies = std::mem::take(&mut self.leaves.copies);
        let mut leaves = std::mem::replace(
            &mut self.leaves,
            Leaves {
                copies,
                ..Leaves::default()
            },
        );
        let mut ends = Vec::new();
        for (event, outcome) in delivered.into_iter().chain(leaves.ended.drain(..)) {
            if let Some(copy) = self.leaves.copies.remove(&event) {
                self.station.over(now, copy, outcome);
                ends.push((copy, outcome));
            }
        }
        leaves
            .calls
            .iter()
            .for_each(|(_, copy, _)| self.station.called(now, *copy));
        (leaves, ends)
    }
}

impl Decisions for Leaves {
    fn send(&mut self, event: &EventId, _: &TargetId, time_out: Ms, _: Ms) {
        let copy = self.copies[event];
        self.calls.push((event.clone(), copy, time_out));
    }
    fn dismiss(&mut self, event: &EventId, _: Option<Ms>) -> bool {
        self.ended.push((event.clone(), Outcome::Dismissed));
        false
    }
    fn write_off(&mut self, event: &EventId) -> bool {
        self.ended.push((event.clone(), Outcome::WrittenOff));
        false
    }
    fn ping(&mut self, target: &TargetId) {
        self.pings.push(target.clone());
    }
    fn close_idle(&mut self, _: &TargetId) {}
    fn take_back(&mut self, _: &TargetId) {}
    fn note_cold(&mut self, _: &TargetId, _: Ms, _: f64) {}
    fn wake_after(&mut self, pause: Ms) {
        self.wake = Some(pause);
    }
}
