//! Simulated proxies and their clients.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use plankhill_conversations::wire::{StoreRequest, StoreResponse};
use plankhill_protocol::ids::{ProgramId, RequestId, ZoneName};
use plankhill_protocol::store_calls::{
    Reservation, StoreCall, StoreReply, TurnLocation, TurnRecord,
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

impl World {
    /// Runs a client that executes turns one after the other.
    pub async fn run_client(self: Rc<Self>, name: u64, turns: u64) {
        let client = self.store_client(name % 3);
        for number in 0..turns {
            if self.ended.get() {
                return;
            }
            let turn = RequestId::from(format!("turn-{name}-{number}").as_str());
            let program = ProgramId::from(format!("program-{}", self.random_range(0..12)).as_str());
            self.execute_turn(&client, &program, &turn).await;
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
        program: &ProgramId,
        turn: &RequestId,
    ) {
        let max_tokens = self.random_range(20..60);
        let budget = {
            let budget = self.random_range(80..500);
            let mut oracle = self.oracle.borrow_mut();
            oracle.turn(program, turn).max_tokens = max_tokens;
            *oracle.budgets.entry(program.clone()).or_insert(budget)
        };
        let previous = self.pick_previous(program);
        let begin = BeginTurn {
            program: program.clone(),
            turn: turn.clone(),
            reservation: Some(Reservation { budget, max_tokens }),
            previous: previous.clone(),
        };
        let charged = self.oracle.borrow().charged(program);
        match client.begin_turn(begin, BEGIN_TIMEOUT).await {
            BeginOutcome::Begun {
                history,
                previous: location,
            } => {
                self.oracle
                    .borrow_mut()
                    .check_history(previous.as_ref(), &history);
                self.generate_and_end_turn(client, program, turn, max_tokens, &history, location)
                    .await;
            }
            BeginOutcome::BudgetExhausted => {
                self.oracle
                    .borrow_mut()
                    .check_rejection(program, turn, &charged);
            }
            BeginOutcome::NoSuchTurn => {
                if let Some(previous) = &previous {
                    self.oracle.borrow().check_absence(previous);
                }
            }
            BeginOutcome::Unavailable => {
                self.oracle.borrow_mut().unavailable += 1;
                let end = end_turn(program, turn, 0, None);
                if client.end_turn(end, END_TIMEOUT).await == EndOutcome::Ended {
                    self.oracle.borrow_mut().turn(program, turn).is_committed = true;
                }
            }
        }
    }

    async fn generate_and_end_turn(
        self: &Rc<Self>,
        client: &StoreClient<SimulatedTransport>,
        program: &ProgramId,
        turn: &RequestId,
        max_tokens: u64,
        history: &[u8],
        previous: Option<TurnLocation>,
    ) {
        let tokens = self.random_range(0..max_tokens + 1);
        let mut delivered_tokens = 0;
        while delivered_tokens < tokens {
            let step = self.random_range(1..20).min(tokens - delivered_tokens);
            tokio::time::sleep(milliseconds(self.random_range(5..60))).await;
            self.oracle.borrow_mut().record_tokens(program, turn, step);
            delivered_tokens += step;
            if self.random_bool(1) {
                // The proxy fails while the turn is running.
                return;
            }
        }
        let is_complete = self.random_bool(90);
        let record = TurnRecord {
            turn: turn.clone(),
            program: program.clone(),
            previous,
            input: bytes(format!("in {turn};"), self.random_range(0..40)),
            output: bytes(format!("out {turn};"), self.random_range(0..80)),
            retention_ms: RETENTION.as_millis() as u64,
        };
        let answered = AnsweredTurn {
            turn: turn.clone(),
            program: program.clone(),
            history: [history, &record.input, &record.output].concat(),
            at: Instant::now(),
        };
        let end = end_turn(program, turn, tokens, is_complete.then_some(record));
        if client.end_turn(end, END_TIMEOUT).await == EndOutcome::Ended {
            let mut oracle = self.oracle.borrow_mut();
            oracle.turn(program, turn).is_committed = true;
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

fn end_turn(
    program: &ProgramId,
    turn: &RequestId,
    tokens: u64,
    record: Option<TurnRecord>,
) -> EndTurn {
    EndTurn {
        program: program.clone(),
        turn: turn.clone(),
        tokens: Some(tokens),
        record,
    }
}

fn bytes(text: String, padding: u64) -> Arc<[u8]> {
    let mut bytes = text.into_bytes();
    bytes.extend(std::iter::repeat_n(b'.', padding as usize));
    bytes.into()
}
