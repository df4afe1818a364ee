//! Simulated proxies and their clients.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use plankhill_conversations::wire::{StoreRequest, StoreResponse};
use plankhill_protocol::ids::{ProgramId, RequestId, ZoneName};
use plankhill_protocol::store_calls::{
    Reservation, StoreCall, StoreReply, TurnLifetime, TurnLocation, TurnRecord,
};
use plankhill_protocol::transport::CallError;
use plankhill_store_client::{
    BeginOutcome, BeginTurn, EndOutcome, EndTurn, StoreClient, StoreTransport,
};
use tokio::time::Instant;

use super::oracle::{AnsweredTurn, RETENTION};
use super::{milliseconds, World};

const BEGIN_TIMEOUT: Duration = Duration::from_millis(1_500);
const END_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Longer than any turn.
const TURN_TIMEOUT: Duration = Duration::from_secs(40);

/// The programs of which the clients execute turns.
#[derive(Clone, Copy, Debug)]
pub enum Programs {
    /// For each turn one of 12 programs.
    AtRandom,
    /// All clients execute this number of turns of a program before they go on to the next one, so that
    /// they compete for its budget.
    InSequence { turns: u64 },
}

/// The turns that a client executes.
#[derive(Clone, Copy, Debug)]
pub struct ClientTurns {
    pub count: u64,
    pub programs: Programs,
    /// Maximum time between two events of a turn, in milliseconds.
    pub max_event_interval_ms: u64,
}

/// A turn that a client executes.
#[derive(Clone, Debug)]
struct ClientTurn {
    program: ProgramId,
    name: RequestId,
    max_tokens: u64,
    max_event_interval_ms: u64,
}

impl World {
    /// Runs a client that executes turns one after the other.
    pub async fn run_client(self: Rc<Self>, name: u64, turns: ClientTurns) {
        let client = self.store_client(name % 3);
        for number in 0..turns.count {
            if self.ended.get() {
                return;
            }
            let program = match turns.programs {
                Programs::AtRandom => self.random_range(0..12),
                Programs::InSequence { turns } => number / turns,
            };
            let turn = ClientTurn {
                program: ProgramId::from(format!("program-{program}").as_str()),
                name: RequestId::from(format!("turn-{name}-{number}").as_str()),
                max_tokens: self.random_range(20..60),
                max_event_interval_ms: turns.max_event_interval_ms,
            };
            self.execute_turn(&client, &turn).await;
            tokio::time::sleep(milliseconds(self.random_range(5..150))).await;
        }
    }

    fn pick_previous(&self, program: &ProgramId) -> Option<RequestId> {
        if self.random_bool(15) {
            return None;
        }
        if self.random_bool(5) {
            return Some(RequestId::from("nobody's turn"));
        }
        let any = self.random_bool(15);
        let oracle = self.oracle.borrow();
        let own = oracle
            .answered
            .iter()
            .filter(|answered| any || answered.program == *program);
        let names: Vec<RequestId> = own.map(|answered| answered.turn.clone()).collect();
        self.rng.borrow_mut().choose(&names).cloned()
    }

    async fn execute_turn(
        self: &Rc<Self>,
        client: &StoreClient<SimulatedTransport>,
        turn: &ClientTurn,
    ) {
        let (program, name) = (&turn.program, &turn.name);
        let budget = {
            let budget = self.random_range(80..500);
            let mut oracle = self.oracle.borrow_mut();
            oracle.turn(program, name).max_tokens = turn.max_tokens;
            *oracle.budgets.entry(program.clone()).or_insert(budget)
        };
        let previous = self.pick_previous(program);
        let begin = BeginTurn {
            program: program.clone(),
            turn: name.clone(),
            reservation: Some(Reservation {
                budget,
                max_tokens: turn.max_tokens,
            }),
            previous: previous.clone(),
            lifetime: Some(lifetime()),
        };
        let charged = self.oracle.borrow().charged(program);
        match client.begin_turn(begin, BEGIN_TIMEOUT).await {
            BeginOutcome::Begun {
                history,
                previous: location,
            } => {
                {
                    let mut oracle = self.oracle.borrow_mut();
                    oracle.check_grant(program, name);
                    oracle.check_history(previous.as_ref(), &history);
                }
                self.generate_and_end_turn(client, turn, &history, location)
                    .await;
            }
            BeginOutcome::BudgetExhausted => {
                self.oracle
                    .borrow_mut()
                    .check_rejection(program, name, &charged);
                self.release_in_background(client, turn);
            }
            BeginOutcome::NoSuchTurn => {
                if let Some(previous) = &previous {
                    self.oracle.borrow().check_absence(previous);
                }
                self.release_in_background(client, turn);
            }
            BeginOutcome::Unavailable => {
                self.oracle.borrow_mut().unavailable += 1;
                self.release(client, turn).await;
            }
        }
    }

    /// Ends a turn that does not run while its client goes on.
    fn release_in_background(
        self: &Rc<Self>,
        client: &StoreClient<SimulatedTransport>,
        turn: &ClientTurn,
    ) {
        let (world, client, turn) = (self.clone(), client.clone(), turn.clone());
        tokio::task::spawn_local(async move { world.release(&client, &turn).await });
    }

    /// Ends a turn that does not run.
    async fn release(&self, client: &StoreClient<SimulatedTransport>, turn: &ClientTurn) {
        let end = end_turn(turn, 0, None);
        if client.end_turn(end, END_TIMEOUT).await == EndOutcome::Ended {
            let mut oracle = self.oracle.borrow_mut();
            oracle.turn(&turn.program, &turn.name).is_committed = true;
        }
    }

    async fn generate_and_end_turn(
        self: &Rc<Self>,
        client: &StoreClient<SimulatedTransport>,
        turn: &ClientTurn,
        history: &[u8],
        previous: Option<TurnLocation>,
    ) {
        let (program, name) = (&turn.program, &turn.name);
        let tokens = self.random_range(0..turn.max_tokens + 1);
        let mut delivered_tokens = 0;
        while delivered_tokens < tokens {
            let step = self.random_range(1..20).min(tokens - delivered_tokens);
            let interval_ms = self.random_range(5..turn.max_event_interval_ms);
            tokio::time::sleep(milliseconds(interval_ms)).await;
            self.oracle.borrow_mut().record_tokens(program, name, step);
            delivered_tokens += step;
            if self.random_bool(1) {
                // The proxy fails while the turn is running.
                return;
            }
        }
        let is_complete = self.random_bool(90);
        let record = TurnRecord {
            turn: name.clone(),
            program: program.clone(),
            previous,
            input: bytes(format!("in {name};"), self.random_range(0..40)),
            output: bytes(format!("out {name};"), self.random_range(0..80)),
            retention_ms: RETENTION.as_millis() as u64,
        };
        let answered = AnsweredTurn {
            turn: name.clone(),
            program: program.clone(),
            history: [history, &record.input, &record.output].concat(),
            at: Instant::now(),
        };
        let end = end_turn(turn, tokens, is_complete.then_some(record));
        self.oracle.borrow_mut().turn(program, name).is_ending = true;
        if client.end_turn(end, END_TIMEOUT).await == EndOutcome::Ended {
            let mut oracle = self.oracle.borrow_mut();
            oracle.turn(program, name).is_committed = true;
            if is_complete {
                oracle.answered.push(AnsweredTurn {
                    at: Instant::now(),
                    ..answered
                });
            }
        }
    }

    /// Creates a proxy's store client, which receives views with a random delay.
    pub fn store_client(self: &Rc<Self>, zone: u64) -> StoreClient<SimulatedTransport> {
        let calls = SimulatedTransport {
            world: Rc::downgrade(self),
        };
        let client =
            StoreClient::with_transport(calls, ZoneName::from(format!("zone-{zone}").as_str()));
        let (world, follower) = (self.clone(), client.clone());
        client.set_view(&self.view.borrow());
        tokio::task::spawn_local(async move {
            while !world.ended.get() {
                tokio::time::sleep(milliseconds(world.random_range(5..300))).await;
                follower.set_view(&world.view.borrow());
            }
        });
        client
    }
}

/// The calls of a proxy to the stores, over the simulated network.
pub struct SimulatedTransport {
    world: Weak<World>,
}

impl StoreTransport for SimulatedTransport {
    fn call(
        &self,
        address: SocketAddr,
        call: StoreCall,
        timeout: Duration,
    ) -> impl Future<Output = Result<StoreReply, CallError>> + 'static {
        let world = self.world.upgrade();
        async move {
            let world = world.ok_or(CallError::NotSent)?;
            match world
                .call(None, address, StoreRequest::Proxy(call), timeout)
                .await?
            {
                StoreResponse::Proxy(reply) => Ok(reply),
                StoreResponse::Peer(_) => Err(CallError::NoAnswer),
            }
        }
    }

    fn retain_addresses(&self, _: &[SocketAddr]) {}
}

fn lifetime() -> TurnLifetime {
    TurnLifetime {
        timeout_ms: TURN_TIMEOUT.as_millis() as u64,
        retention_ms: RETENTION.as_millis() as u64,
    }
}

fn end_turn(turn: &ClientTurn, tokens: u64, record: Option<TurnRecord>) -> EndTurn {
    EndTurn {
        program: turn.program.clone(),
        turn: turn.name.clone(),
        tokens: Some(tokens),
        record,
    }
}

fn bytes(text: String, padding: u64) -> Arc<[u8]> {
    let mut bytes = text.into_bytes();
    bytes.extend(std::iter::repeat_n(b'.', padding as usize));
    bytes.into()
}
