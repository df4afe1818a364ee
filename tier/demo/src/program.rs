//! Agent programs: turns that continue each other, with a call of a tool after each.

use std::str::Utf8Error;
use std::time::Duration;

use hyper::{Method, StatusCode};
use thiserror::Error;
use tokio::time::{sleep, Instant};

use crate::client::{AnsweredRequest, Client, ClientRequest, RequestError};
use crate::configuration::{TOOL_PATH, TURN_PATH};
use crate::events;
use crate::history::History;

/// Most tokens that one turn generates.
pub(crate) const TURN_TOKENS: u32 = 24;

/// Time left to a program, as it tells the tier.
const FINISH_TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a program thinks between two turns.
const THINK_TIME: Duration = Duration::from_millis(400);

/// What a program does.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProgramPlan {
    /// Number of the program among all.
    pub(crate) number: u32,
    /// Turns that it takes.
    pub(crate) turns: u32,
    /// Tokens that its turns together may generate.
    pub(crate) budget: u32,
}

/// Why a program failed.
#[derive(Debug, Error)]
enum ProgramError {
    #[error(transparent)]
    Request(#[from] RequestError),
    #[error("{0}")]
    Stream(#[from] Utf8Error),
    #[error("turn {id} was answered {status}")]
    Turn { id: String, status: StatusCode },
    #[error("call {id} was answered {status}")]
    ToolCall { id: String, status: StatusCode },
}

/// How a program's next turn went.
enum TurnOutcome {
    Completed,
    BudgetExhausted,
}

/// Runs a program to its end and counts what it saw.
pub(crate) async fn run(plan: ProgramPlan, client: Client) {
    client.counts.update(|counts| counts.programs_started += 1);
    let mut program = Program {
        plan,
        client: client.clone(),
        previous: None,
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
    /// Id of the last turn that was answered completely.
    previous: Option<String>,
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
        let begun = Instant::now();
        let answered = self.client.send(&self.turn_request(number, &input)).await?;
        match answered.answer.status {
            StatusCode::OK => self.accept(&input, begun.elapsed(), answered),
            StatusCode::PAYMENT_REQUIRED => {
                self.client
                    .counts
                    .update(|counts| counts.budget_rejections += 1);
                Ok(TurnOutcome::BudgetExhausted)
            }
            status => Err(ProgramError::Turn {
                id: answered.id,
                status,
            }),
        }
    }

    fn accept(
        &mut self,
        input: &str,
        time: Duration,
        answered: AnsweredRequest,
    ) -> Result<TurnOutcome, ProgramError> {
        let stream = std::str::from_utf8(&answered.answer.body)?;
        let data = events::data_of(stream);
        let expected = self.history.digest_with(input);
        let right = !data.is_empty() && data.iter().all(|data| data.starts_with(&expected));
        self.history.add(input, &data);
        self.previous = Some(answered.id);
        self.client.counts.update(|counts| {
            counts.turns += 1;
            counts.turn_times.push(time);
            counts.wrong_prompts += u32::from(!right);
        });
        Ok(TurnOutcome::Completed)
    }

    async fn call_tool(&self, number: u32) -> Result<(), ProgramError> {
        let request = ClientRequest {
            name: self.request_name("tool", number),
            method: Method::GET,
            path: TOOL_PATH,
            headers: self.program_headers(),
            body: String::new(),
        };
        let answered = self.client.send(&request).await?;
        let status = answered.answer.status;
        if !status.is_success() {
            let id = answered.id;
            return Err(ProgramError::ToolCall { id, status });
        }
        self.client.counts.update(|counts| counts.tool_calls += 1);
        Ok(())
    }

    fn turn_request(&self, number: u32, input: &str) -> ClientRequest {
        let mut headers = self.program_headers();
        headers.push(("budget", self.plan.budget.to_string()));
        headers.push(("model", "m".to_owned()));
        headers.push(("token-usage", format!("{},{TURN_TOKENS}", 10 * number)));
        headers.push((
            "prefix-hash",
            format!("{:x}:{}", self.plan.number, 10 * number),
        ));
        headers.extend(self.previous.clone().map(|previous| ("previous", previous)));
        let name = self.request_name("turn", number);
        ClientRequest {
            name,
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
            ("finish-ms", FINISH_TIMEOUT.as_millis().to_string()),
        ]
    }

    /// Prefix of the ids of a request's attempts.
    fn request_name(&self, kind: &str, number: u32) -> String {
        format!("{kind}-{:x}-{number:x}", self.plan.number)
    }
}
