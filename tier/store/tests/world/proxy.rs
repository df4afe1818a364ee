//! Proxies and the clients before them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use plankhill_protocol::ids::{ProgramId, RequestId};
use plankhill_protocol::turns::{Reservation, StoreCall, StoreReply, TurnPlace, TurnRecord};
use plankhill_turns::wire::{StoreAnswer, StoreRequest};
use tokio::time::Instant;

use super::programs::{Answered, RETENTION};
use super::{milliseconds, World};

const STORE_TIMEOUT: Duration = Duration::from_millis(700);
const BEGIN_TIME: Duration = Duration::from_millis(1_500);
const END_TIME: Duration = Duration::from_millis(2_500);

impl World {
    /// A client that takes turns, one after the other.
    pub async fn run_client(self: Rc<Self>, name: u64, turns: u64) {
        for number in 0..turns {
            if self.ended.get() {
                return;
            }
            let turn = RequestId::from(format!("turn-{name}-{number}").as_str());
            let program = ProgramId::from(format!("program-{}", self.within(0..12)).as_str());
            self.take_turn(&program, &turn).await;
            tokio::time::sleep(milliseconds(self.within(5..150))).await;
        }
    }

    fn choose_previous(&self, program: &ProgramId) -> Option<RequestId> {
        if self.chance(15) {
            return None;
        }
        if self.chance(5) {
            return Some(RequestId::from("nobody's turn"));
        }
        let any = self.chance(15);
        let programs = self.programs.borrow();
        let own = programs.answered.iter().filter(|answered| any || answered.program == *program);
        let names: Vec<RequestId> = own.map(|answered| answered.turn.clone()).collect();
        self.rng.borrow_mut().pick(&names).cloned()
    }

    async fn take_turn(self: &Rc<Self>, program: &ProgramId, turn: &RequestId) {
        let most = self.within(20..60);
        let budget = {
            let budget = self.within(80..500);
            let mut programs = self.programs.borrow_mut();
            programs.turn(program, turn).most = most;
            *programs.budgets.entry(program.clone()).or_insert(budget)
        };
        let previous = self.choose_previous(program);
        let begin = StoreCall::BeginTurn {
            epoch: self.view.borrow().epoch,
            program: program.clone(),
            turn: turn.clone(),
            reservation: Some(Reservation { budget, most }),
            previous: previous.clone(),
        };
        let counted = self.programs.borrow().counted(program);
        match self.ask(begin, BEGIN_TIME).await {
            StoreReply::Begun { history, previous: place } => {
                self.programs.borrow_mut().began(previous.as_ref(), &history);
                self.run_turn(program, turn, most, &history, place).await;
            }
            StoreReply::BudgetSpent => {
                self.programs.borrow_mut().refused(program, turn, &counted);
            }
            StoreReply::NoSuchTurn => {
                if let Some(previous) = &previous {
                    self.programs.borrow().absent(previous);
                }
            }
            _ => {
                self.programs.borrow_mut().unsure += 1;
                let end = self.end_call(program, turn, Some(0), None);
                if self.ask(end, END_TIME).await == StoreReply::Ended {
                    self.programs.borrow_mut().turn(program, turn).settled = true;
                }
            }
        }
    }

    async fn run_turn(
        self: &Rc<Self>,
        program: &ProgramId,
        turn: &RequestId,
        most: u64,
        history: &[u8],
        previous: Option<TurnPlace>,
    ) {
        let tokens = self.within(0..most + 1);
        let mut handed = 0;
        while handed < tokens {
            let step = self.within(1..20).min(tokens - handed);
            tokio::time::sleep(milliseconds(self.within(5..60))).await;
            self.programs.borrow_mut().hand(program, turn, step);
            handed += step;
            if self.chance(1) {
                // The proxy dies with the turn under way.
                return;
            }
        }
        let is_whole = self.chance(90);
        let record = TurnRecord {
            turn: turn.clone(),
            program: program.clone(),
            previous,
            input: bytes(format!("in {turn};"), self.within(0..40)),
            output: bytes(format!("out {turn};"), self.within(0..80)),
            retention_ms: RETENTION.as_millis() as u64,
        };
        let answered = Answered {
            turn: turn.clone(),
            program: program.clone(),
            history: [history, &record.input, &record.output].concat(),
            at: Instant::now(),
        };
        let end = self.end_call(program, turn, Some(tokens), is_whole.then_some(record));
        if self.ask(end, END_TIME).await == StoreReply::Ended {
            let mut programs = self.programs.borrow_mut();
            programs.turn(program, turn).settled = true;
            if is_whole {
                programs.answered.push(Answered { at: Instant::now(), ..answered });
            }
        }
    }

    fn end_call(
        &self,
        program: &ProgramId,
        turn: &RequestId,
        tokens: Option<u64>,
        record: Option<TurnRecord>,
    ) -> StoreCall {
        let (program, turn) = (program.clone(), turn.clone());
        StoreCall::EndTurn { epoch: self.view.borrow().epoch, program, turn, tokens, record }
    }

    /// Asks one store after the other, as the proxies' client does.
    pub async fn ask(self: &Rc<Self>, call: StoreCall, time: Duration) -> StoreReply {
        let ends = Instant::now() + time;
        loop {
            let serving = self.view.borrow().serving.clone();
            let first = self.within(0..serving.len() as u64) as usize;
            for at in 0..serving.len() {
                let left = ends.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return StoreReply::Unsure;
                }
                let address = serving[(first + at) % serving.len()].address;
                let request = StoreRequest::Proxy(call.clone());
                match self.call(None, address, request, left.min(STORE_TIMEOUT)).await {
                    Ok(StoreAnswer::Proxy(StoreReply::Unsure | StoreReply::OldEpoch(_))) => {}
                    Ok(StoreAnswer::Proxy(reply)) => return reply,
                    _ => {}
                }
            }
            tokio::time::sleep(milliseconds(60)).await;
            if Instant::now() >= ends {
                return StoreReply::Unsure;
            }
        }
    }
}

fn bytes(text: String, padding: u64) -> Arc<[u8]> {
    let mut bytes = text.into_bytes();
    bytes.extend(std::iter::repeat_n(b'.', padding as usize));
    bytes.into()
}
