//! Agent programs: sequences of turns, each of which continues the previous turn and is followed by
//! a tool call.

use std::str::Utf8Error;
use std::time::Duration;

use hyper::{Method, StatusCode};
use thiserror::Error;
use tokio::time::{sleep, Instant};

use crate::client::{Client, ClientRequest, ClientResponse, RequestError};
use crate::configuration::{TOOL_PATH, TURN_PATH};
use crate::events;
use crate::history::History;

/// Largest number of tokens that one turn generates.
pub(crate) const MAX_TURN_TOKENS: u32 = 24;

/// Remaining time of a program, as each of its requests reports it in `Finish-Ms`.
const REPORTED_TIME_LEFT: Duration = Duration::from_secs(30);

/// Pause of a program after each turn and its tool call.
const THINK_TIME: Duration = Duration::from_millis(400);

/// Parameters of a program.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProgramPlan {
    /// Number of the program, unique within the run.
    pub(crate) number: u32,
    /// Number of turns of the program.
    pub(crate) turns: u32,
    /// Largest number of tokens that all turns of the program together may generate.
    pub(crate) budget: u32,
}

/// Reason why a program failed.
#[derive(Debug, Error)]
enum ProgramError {
    #[error(transparent)]
    Request(#[from] RequestError),
    #[error("{0}")]
    Stream(#[from] Utf8Error),
    #[error("turn {id} returned status {status}")]
    Turn { id: String, status: StatusCode },
    #[error("tool call {id} returned status {status}")]
    ToolCall { id: String, status: StatusCode },
}

/// Outcome of one turn.
enum TurnOutcome {
    Completed,
    BudgetExhausted,
}

/// Runs a program to its end and records its results in the client's counts.
pub(crate) async fn run(plan: ProgramPlan, client: Client) {
    client.counts.update(|counts| counts.programs_started += 1);
    let mut program = Program {
        plan,
        client: client.clone(),
        previous_turn: None,
        history: History::default(),
    };
    match program.run_turns().await {
        Ok(()) => client
            .counts
            .update(|counts| counts.programs_completed += 1),
        Err(error) => client
            .counts
            .update(|counts| counts.failures.push(error.to_string())),
    }
}

struct Program {
    plan: ProgramPlan,
    client: Client,
    /// Request id of the last completed turn.
    previous_turn: Option<String>,
    history: History,
}

impl Program {
    async fn run_turns(&mut self) -> Result<(), ProgramError> {
        for number in 1..=self.plan.turns {
            match self.take_turn(number).await? {
                TurnOutcome::Completed => self.call_tool(number).await?,
                TurnOutcome::BudgetExhausted => return Ok(()),
            }
            sleep(THINK_TIME).await;
        }
        Ok(())
    }

    async fn take_turn(&mut self, number: u32) -> Result<TurnOutcome, ProgramError> {
        let input = format!("program {} says sentence {number}\n", self.plan.number);
        let started_at = Instant::now();
        let response = self.client.send(&self.turn_request(number, &input)).await?;
        match response.http_response.status {
            StatusCode::OK => self.record_turn(&input, started_at.elapsed(), response),
            StatusCode::PAYMENT_REQUIRED => {
                self.client
                    .counts
                    .update(|counts| counts.budget_rejections += 1);
                Ok(TurnOutcome::BudgetExhausted)
            }
            status => Err(ProgramError::Turn {
                id: response.attempt_id,
                status,
            }),
        }
    }

    fn record_turn(
        &mut self,
        input: &str,
        turn_time: Duration,
        response: ClientResponse,
    ) -> Result<TurnOutcome, ProgramError> {
        let stream = std::str::from_utf8(&response.http_response.body)?;
        let data = events::event_data(stream);
        let expected = self.history.digest_with(input);
        let prompt_matches =
            !data.is_empty() && data.iter().all(|data| data.starts_with(&expected));
        self.history.add_turn(input, &data);
        self.previous_turn = Some(response.attempt_id);
        self.client.counts.update(|counts| {
            counts.turns += 1;
            counts.turn_times.push(turn_time);
            counts.wrong_prompts += u32::from(!prompt_matches);
        });
        Ok(TurnOutcome::Completed)
    }

    async fn call_tool(&self, number: u32) -> Result<(), ProgramError> {
        let request = ClientRequest {
            id_prefix: self.id_prefix("tool", number),
            method: Method::GET,
            path: TOOL_PATH,
            headers: self.program_headers(),
            body: String::new(),
        };
        let response = self.client.send(&request).await?;
        let status = response.http_response.status;
        if !status.is_success() {
            let id = response.attempt_id;
            return Err(ProgramError::ToolCall { id, status });
        }
        self.client.counts.update(|counts| counts.tool_calls += 1);
        Ok(())
    }

    fn turn_request(&self, number: u32, input: &str) -> ClientRequest {
        let mut headers = self.program_headers();
        headers.push(("budget", self.plan.budget.to_string()));
        headers.push(("model", "m".to_owned()));
        headers.push(("token-usage", format!("{},{MAX_TURN_TOKENS}", 10 * number)));
        headers.push((
            "prefix-hash",
            format!("{:x}:{}", self.plan.number, 10 * number),
        ));
        headers.extend(self.previous_turn.clone().map(|id| ("previous", id)));
        let id_prefix = self.id_prefix("turn", number);
        ClientRequest {
            id_prefix,
            method: Method::POST,
            path: TURN_PATH,
            headers,
            body: input.to_owned(),
        }
    }

    fn program_headers(&self) -> Vec<(&'static str, String)> {
        let number = self.plan.number;
        vec![
            ("program", format!("{number:06x}")),
            ("session", format!("{number:06x}")),
            ("finish-ms", REPORTED_TIME_LEFT.as_millis().to_string()),
        ]
    }

    /// Prefix of the request ids of a request's attempts.
    fn id_prefix(&self, kind: &str, number: u32) -> String {
        format!("{kind}-{:x}-{number:x}", self.plan.number)
    }
}
