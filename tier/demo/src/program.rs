//! Agent programs: turns that go on from each other, with a call of a tool after each.

use std::time::Duration;

use hyper::{Method, StatusCode};
use tokio::time::{sleep, Instant};

use crate::client::{Answered, Client, ClientRequest};
use crate::configuration::{TOOL_PATH, TURN_PATH};
use crate::events;
use crate::history::History;

/// Most tokens that one turn generates.
pub(crate) const TURN_TOKENS: u32 = 24;

/// Time left to a program, as it tells the tier.
const FINISH: Duration = Duration::from_secs(30);

/// Time that a program thinks between two turns.
const THINKING: Duration = Duration::from_millis(400);

/// What a program does.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    /// Place of the program among all.
    pub(crate) number: u32,
    /// Turns that it takes.
    pub(crate) turns: u32,
    /// Tokens that its turns together may generate.
    pub(crate) budget: u32,
}

/// How a program's next turn went.
enum Turn {
    Whole,
    BudgetSpent,
}

/// Runs a program to its end and counts what it saw.
pub(crate) async fn run(plan: Plan, client: Client) {
    client.tally.update(|counts| counts.programs_begun += 1);
    let mut program = Program {
        plan,
        client: client.clone(),
        previous: None,
        history: History::default(),
    };
    match program.play().await {
        Ok(()) => client.tally.update(|counts| counts.programs_whole += 1),
        Err(reason) => client.tally.update(|counts| counts.failures.push(reason)),
    }
}

struct Program {
    plan: Plan,
    client: Client,
    /// Id of the last turn that was answered whole.
    previous: Option<String>,
    history: History,
}

impl Program {
    async fn play(&mut self) -> Result<(), String> {
        for number in 1..=self.plan.turns {
            match self.take_turn(number).await? {
                Turn::Whole => self.call_tool(number).await?,
                Turn::BudgetSpent => return Ok(()),
            }
            sleep(THINKING).await;
        }
        Ok(())
    }

    async fn take_turn(&mut self, number: u32) -> Result<Turn, String> {
        let input = format!("program {} says sentence {number}\n", self.plan.number);
        let begun = Instant::now();
        let answered = self.client.send(&self.turn_request(number, &input)).await?;
        match answered.answer.status {
            StatusCode::OK => self.accept(&input, begun.elapsed(), answered),
            StatusCode::PAYMENT_REQUIRED => {
                self.client
                    .tally
                    .update(|counts| counts.budget_refusals += 1);
                Ok(Turn::BudgetSpent)
            }
            status => Err(format!("turn {} was answered {status}", answered.id)),
        }
    }

    fn accept(&mut self, input: &str, time: Duration, answered: Answered) -> Result<Turn, String> {
        let stream =
            std::str::from_utf8(&answered.answer.body).map_err(|error| error.to_string())?;
        let data = events::data_of(stream);
        let expected = self.history.digest_with(input);
        let right = !data.is_empty() && data.iter().all(|data| data.starts_with(&expected));
        self.history.add(input, &data);
        self.previous = Some(answered.id);
        self.client.tally.update(|counts| {
            counts.turns += 1;
            counts.turn_times.push(time);
            counts.wrong_histories += u32::from(!right);
        });
        Ok(Turn::Whole)
    }

    async fn call_tool(&self, number: u32) -> Result<(), String> {
        let request = ClientRequest {
            name: self.request_name("tool", number),
            method: Method::GET,
            path: TOOL_PATH,
            headers: self.program_headers(),
            body: String::new(),
        };
        let answered = self.client.send(&request).await?;
        if !answered.answer.status.is_success() {
            return Err(format!(
                "call {} was answered {}",
                answered.id, answered.answer.status
            ));
        }
        self.client.tally.update(|counts| counts.calls += 1);
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
            ("finish-ms", FINISH.as_millis().to_string()),
        ]
    }

    /// Start of the ids of a request's tries.
    fn request_name(&self, kind: &str, number: u32) -> String {
        format!("{kind}-{:x}-{number:x}", self.plan.number)
    }
}
