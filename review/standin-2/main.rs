//! Stand-ins of the second review: `standin CASE ROOT RECORD`. Ends with 1 if the rule of the case was
//! broken, 0 if it held, and 2 if the case could not run.

mod http;
mod long_history;
mod missed_extension;
mod record;
mod resumed_turn;
mod slow_reader;
mod spoilt_stream;
mod target;
mod tier;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// What a case needs to run.
pub struct Context {
    pub root: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// The result of a case: `Ok(true)` if the rule held.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("standin CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(record.as_ref()) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let context = Context {
        root: PathBuf::from(root),
        record: Arc::new(record),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let trouble = if context.trouble { "with" } else { "without" };
    context.record.line(&format!("case {case}, {trouble} the disruption"));
    let verdict = match case.as_str() {
        "slow-reader" => slow_reader::run(&context),
        "pausing-reader" => slow_reader::run_pause(&context),
        "spoilt-stream" => spoilt_stream::run(&context),
        "missed-extension" => missed_extension::run(&context),
        "resumed-turn" => resumed_turn::run(&context),
        "long-history" => long_history::run(&context),
        _ => Err(format!("no case is called {case}")),
    };
    match verdict {
        Ok(true) => {
            context.record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            context.record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            context.record.line(&format!("the case could not run: {error}"));
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

pub fn pause(milliseconds: u64) {
    std::thread::sleep(Duration::from_millis(milliseconds));
}
