//! The simulated forwarders, and the batches of events for them. Called for each line by `main`.

use std::collections::BTreeMap;
use std::rc::Rc;

use plankhill_decisions::interface::Ms;
use plankhill_decisions::scheduler::Scheduler;
use plankhill_forwarder_config::fields::{
    list, object, optional_text, optional_unsigned, text, time, unsigned, Object,
};
use plankhill_forwarder_config::{decision_config, Names};
use serde_json::{json, Value};

use crate::decision_writer::DecisionWriter;
use crate::error::{field, ArrivalError, BatchError};
use crate::inputs::apply_arrival;
use crate::subscription::Subscription;

/// Label of the timer for requests of the endpoint list; the scheduler's timers have label 0.
const SUBSCRIPTION_TIMER: u64 = 1;

/// A page of the endpoint list, shared by the forwarders that receive it.
pub type Page = Rc<Vec<Value>>;

/// The simulated forwarders and the pages of endpoint lists, by their numbers.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    pages: BTreeMap<u64, Page>,
}

/// A simulated forwarder.
struct Instance {
    scheduler: Scheduler,
    names: Names,
    /// Present if the endpoint list is sent only on request.
    subscription: Option<Subscription>,
}

/// An event for one forwarder.
struct Arrival<'a> {
    /// Position in the batch.
    index: usize,
    event: &'a Object,
    /// The page to which the event's list number referred at that position in the batch.
    page: Option<Page>,
}

/// Events of a batch by the number of their forwarder.
type ArrivalsByInstance<'a> = BTreeMap<u64, Vec<Arrival<'a>>>;

impl Host {
    /// Runs one iteration of each forwarder that has events in the batch; returns the reply.
    ///
    /// # Errors
    /// The batch is not JSON, or an event cannot be applied.
    pub fn run_batch(&mut self, line: &str) -> Result<Value, BatchError> {
        let batch: Value = serde_json::from_str(line).map_err(BatchError::NotJson)?;
        let batch = batch.as_object().ok_or(BatchError::NotAnObject)?;
        let now = time(batch, "tsUs").map_err(|error| BatchError::Field(error.to_string()))?;
        let arrivals = batch
            .get("arrivals")
            .and_then(Value::as_array)
            .ok_or(BatchError::NoArrivals)?;
        let mut by_instance = ArrivalsByInstance::new();
        for (index, arrival) in arrivals.iter().enumerate() {
            let at = |error| BatchError::Arrival { index, error };
            let event = arrival.as_object().ok_or(at(ArrivalError::NotAnObject))?;
            self.dispatch(index, event, now, &mut by_instance)
                .map_err(at)?;
        }
        let mut writer = DecisionWriter::default();
        for (number, arrivals) in by_instance {
            let instance = self
                .instances
                .get_mut(&number)
                .ok_or(BatchError::InstanceGone(number))?;
            writer.set_instance(number);
            instance.run_iteration(now, arrivals, &mut writer)?;
        }
        Ok(json!({ "decisions": writer.into_decisions() }))
    }

    /// Pages, starts and ends take effect in the order of the batch; other events wait for their forwarder's iteration.
    fn dispatch<'a>(
        &mut self,
        index: usize,
        event: &'a Object,
        now: Ms,
        by_instance: &mut ArrivalsByInstance<'a>,
    ) -> Result<(), ArrivalError> {
        let command = text(event, "cmd").map_err(field)?;
        if command == "page" {
            let items = list(event, "items").map_err(field)?;
            let number = unsigned(event, "list").map_err(field)?;
            self.pages.insert(number, Rc::new(items.clone()));
            return Ok(());
        }
        let number = unsigned(event, "who").map_err(field)?;
        if command == "openInstance" {
            self.instances.insert(number, Instance::start(event, now)?);
            by_instance.insert(number, Vec::new());
            return Ok(());
        }
        if !self.instances.contains_key(&number) {
            let command = command.to_owned();
            return Err(ArrivalError::NeverStarted {
                command,
                instance: number,
            });
        }
        if command == "down" {
            self.instances.remove(&number);
            by_instance.remove(&number);
            return Ok(());
        }
        let page = self.page_of(command, event)?;
        by_instance
            .entry(number)
            .or_default()
            .push(Arrival { index, event, page });
        Ok(())
    }

    /// The page of a list event.
    fn page_of(&self, command: &str, event: &Object) -> Result<Option<Page>, ArrivalError> {
        let mode = optional_text(event, "mode").map_err(field)?;
        if command != "fleet" || matches!(mode, None | Some("Error")) {
            return Ok(None);
        }
        let number = unsigned(event, "list").map_err(field)?;
        match self.pages.get(&number) {
            Some(page) => Ok(Some(page.clone())),
            None => Err(ArrivalError::UnknownPage(number)),
        }
    }
}

impl Instance {
    fn start(event: &Object, now: Ms) -> Result<Self, ArrivalError> {
        let seed = unsigned(event, "entropy").map_err(field)?;
        let environment = object(event, "env").map_err(field)?;
        let (config, names) = decision_config(environment, "env", seed).map_err(field)?;
        let subscription = names
            .list_request_interval
            .map(|within| Subscription::new(within, seed));
        Ok(Instance {
            scheduler: Scheduler::new(config, now),
            names,
            subscription,
        })
    }

    fn run_iteration(
        &mut self,
        now: Ms,
        arrivals: Vec<Arrival>,
        writer: &mut DecisionWriter,
    ) -> Result<(), BatchError> {
        let Instance {
            scheduler,
            names,
            subscription,
        } = self;
        let apply_all = |scheduler: &mut Scheduler, writer: &mut DecisionWriter| {
            for Arrival { index, event, page } in arrivals {
                let at = |error| BatchError::Arrival { index, error };
                if let Some(subscription) = subscription {
                    update_subscription(subscription, event, writer).map_err(at)?;
                }
                apply_arrival(names, scheduler, event, page).map_err(at)?;
            }
            Ok::<(), BatchError>(())
        };
        scheduler.run_iteration(now, apply_all, writer)
    }
}

/// Requests the endpoint list when the subscription's timer fires, and sets that timer at the start and after each
/// failed request.
fn update_subscription(
    subscription: &mut Subscription,
    event: &Object,
    writer: &mut DecisionWriter,
) -> Result<(), ArrivalError> {
    let command = text(event, "cmd").map_err(field)?;
    let mode = optional_text(event, "mode").map_err(field)?;
    match (command, mode) {
        ("fleet", Some("Persisted")) => {
            writer.set_timer(subscription.first_delay(), SUBSCRIPTION_TIMER);
        }
        ("fleet", Some("Error")) => writer.set_timer(subscription.on_failed(), SUBSCRIPTION_TIMER),
        ("fleet", _) => subscription.on_answered(),
        ("ring", _) => {
            let label = optional_unsigned(event, "label").map_err(field)?;
            if label == Some(SUBSCRIPTION_TIMER) {
                writer.request_list();
            }
        }
        _ => (),
    }
    Ok(())
}
