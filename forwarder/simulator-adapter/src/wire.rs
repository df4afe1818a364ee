//! Batches off the wire, each sorted to the rounds of its instances. A line number and the name of what was
//! wrong go into every message; nothing is guessed.

use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::rc::Rc;

use plankhill_decisions::interface::*;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_forwarder_config::fields::*;
use plankhill_forwarder_config::{decision_config, Names};
use serde_json::{json, Value};

use crate::arrivals::hand_over;
use crate::subscription::Subscription;
use crate::written::Written;

pub fn serve(input: impl BufRead, mut output: impl Write) -> Plain<()> {
    let mut host = Host::default();
    for (number, line) in input.lines().enumerate() {
        let at = |what: String| format!("line {}: {what}", number + 1);
        let line = line.map_err(|e| at(format!("cannot be read: {e}")))?;
        let reply = host.batch(&line).map_err(at)?;
        writeln!(output, "{reply}")
            .and_then(|()| output.flush())
            .map_err(|e| at(format!("reply cannot be written: {e}")))?;
    }
    Ok(())
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    pages: BTreeMap<u64, Rc<Vec<Value>>>,
}

struct Instance {
    forwarder: Scheduler,
    names: Names,
    /// Where the list answers only when asked.
    subscription: Option<Subscription>,
}

/// The label of the ring at which the list is asked; those of the module's rings are 0.
const ASK: u64 = 1;

/// An arrival, its place in the batch, and the page that its list number meant at that place.
type Arrived<'a> = (usize, &'a Object, Option<Rc<Vec<Value>>>);

impl Host {
    fn batch(&mut self, line: &str) -> Plain<Value> {
        let batch: Value =
            serde_json::from_str(line).map_err(|e| format!("not a JSON value: {e}"))?;
        let batch = batch.as_object().ok_or("a batch is an object")?;
        let now = time(batch, "tsUs")?;
        let arrivals = batch
            .get("arrivals")
            .and_then(Value::as_array)
            .ok_or("arrivals: a list is missing")?;
        let mut rounds: BTreeMap<u64, Vec<Arrived>> = BTreeMap::new();
        for (index, arrival) in arrivals.iter().enumerate() {
            let at = |what: String| format!("arrivals[{index}]: {what}");
            let arrival = arrival
                .as_object()
                .ok_or_else(|| at("an event is an object".into()))?;
            self.sort(index, arrival, now, &mut rounds).map_err(at)?;
        }
        let mut written = Written::default();
        for (who, came_in) in rounds {
            let instance = self
                .instances
                .get_mut(&who)
                .ok_or_else(|| format!("who: instance {who} is gone"))?;
            let Instance {
                forwarder,
                names,
                subscription,
            } = instance;
            written.who = who;
            let came_in = |forwarder: &mut Scheduler, written: &mut Written| {
                for (index, arrival, page) in came_in {
                    let at = |what| format!("arrivals[{index}]: {what}");
                    if let Some(subscription) = subscription {
                        keep_asking(subscription, arrival, written).map_err(at)?;
                    }
                    hand_over(names, forwarder, arrival, page).map_err(at)?;
                }
                Ok::<(), String>(())
            };
            forwarder.run_iteration(now, came_in, &mut written)?;
        }
        Ok(json!({ "decisions": written.decisions }))
    }

    /// Pages, starts and deaths take effect in the order of the batch; the rest waits for its round.
    fn sort<'a>(
        &mut self,
        index: usize,
        arrival: &'a Object,
        now: Ms,
        rounds: &mut BTreeMap<u64, Vec<Arrived<'a>>>,
    ) -> Plain<()> {
        let word = text(arrival, "cmd")?;
        if word == "page" {
            let items = list(arrival, "items")?;
            self.pages
                .insert(whole(arrival, "list")?, Rc::new(items.clone()));
            return Ok(());
        }
        let who = whole(arrival, "who")?;
        if word == "openInstance" {
            let seed = whole(arrival, "entropy")?;
            let (terms, names) = decision_config(object(arrival, "env")?, "env", seed)?;
            let subscription = names
                .ask_within
                .map(|within| Subscription::new(within, seed));
            let forwarder = Scheduler::new(terms, now);
            self.instances.insert(
                who,
                Instance {
                    forwarder,
                    names,
                    subscription,
                },
            );
            rounds.insert(who, Vec::new());
            return Ok(());
        }
        if !self.instances.contains_key(&who) {
            return Err(format!("{word}: instance {who} was never started"));
        }
        if word == "down" {
            self.instances.remove(&who);
            rounds.remove(&who);
            return Ok(());
        }
        let page = match (word, optional_text(arrival, "mode")?) {
            ("fleet", Some("Error")) | ("fleet", None) => None,
            ("fleet", Some(_)) => {
                let number = whole(arrival, "list")?;
                Some(
                    self.pages
                        .get(&number)
                        .ok_or(format!("fleet: no page {number}"))?
                        .clone(),
                )
            }
            _ => None,
        };
        rounds.entry(who).or_default().push((index, arrival, page));
        Ok(())
    }
}

/// The list is asked at its ring, and the next ring is set where a call was not answered.
fn keep_asking(subscription: &mut Subscription, arrival: &Object, out: &mut Written) -> Plain<()> {
    match (text(arrival, "cmd")?, optional_text(arrival, "mode")?) {
        ("fleet", Some("Persisted")) => out.ring_after(subscription.first(), ASK),
        ("fleet", Some("Error")) => out.ring_after(subscription.failed(), ASK),
        ("fleet", _) => subscription.told(),
        ("ring", _) if optional_whole(arrival, "label")? == Some(ASK) => out.ask(),
        _ => (),
    }
    Ok(())
}
