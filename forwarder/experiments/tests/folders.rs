//! Results come out the same however they were made, and a folder that holds something else is left alone.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use plankhill_experiments::compare::estimate;
use plankhill_experiments::{report, run, shipped, Folder, Plan, Stopped};
use plankhill_forwarder_config::experiment::Experiment;
use plankhill_forwarder_config::scenario::Scenario;
use plankhill_forwarder_config::tables::Text;
use rstest::rstest;

const TEXT: &str = r#"
about = "what does a slow partner cost?"
scenario = "partner-silent"
seeds = 2
set = { length = 20000.0, "troubles.0.start" = 5000.0 }
measures = ["cold_load"]
[[variants]]
name = "module"
[[variants]]
name = "backoff"
set = { "forwarders.decisions" = "backoff" }
[[sweep]]
key = "clients.rate"
values = [20.0, 40.0]
"#;

fn plan() -> Plan {
    let text = Text::parse("e.toml".into(), TEXT.into()).expect("TOML");
    let experiment = Experiment::read(&text).expect("right");
    let scenario = shipped::find(&experiment.scenario).expect("shipped");
    Plan::new(
        experiment,
        TEXT.into(),
        &scenario,
        scenario.text().into(),
        "abc".into(),
    )
    .expect("right")
}

/// A folder of its own for each story, gone with it.
struct Own(PathBuf);

impl Own {
    fn new(name: &str) -> Own {
        let path = std::env::temp_dir().join(format!(
            "plankhill-experiments-{}-{name}",
            std::process::id()
        ));
        let _ = fs::remove_dir_all(&path);
        Own(path)
    }
    fn bytes(&self) -> Vec<Vec<u8>> {
        ["days.jsonl", "days.csv", "compare.csv"]
            .map(|name| fs::read(self.0.join(name)).expect(name))
            .into()
    }
}

impl Drop for Own {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn play(own: &Own, jobs: usize, most: usize) -> Result<(), Stopped> {
    let plan = plan();
    let folder = Folder::open(&own.0, &plan)?;
    let (stop, played) = (AtomicBool::new(most == 0), AtomicUsize::new(0));
    run(&plan, &folder, jobs, &stop, || {
        if played.fetch_add(1, Ordering::Relaxed) + 1 >= most {
            stop.store(true, Ordering::Relaxed);
        }
    })
}

#[rstest]
fn one_core_or_four_and_cut_off_or_not_the_bytes_are_the_same() {
    let (one, four, cut) = (Own::new("one"), Own::new("four"), Own::new("cut"));
    play(&one, 1, usize::MAX).expect("played");
    play(&four, 4, usize::MAX).expect("played");
    assert_eq!(play(&cut, 1, 3), Err(Stopped::Asked));
    // The last line was torn as the power went.
    let days = cut.0.join("days.jsonl");
    let bytes = fs::read(&days).expect("begun");
    fs::write(&days, &bytes[..bytes.len() - 100]).expect("torn");
    play(&cut, 2, usize::MAX).expect("goes on");
    assert_eq!(one.bytes(), four.bytes());
    assert_eq!(one.bytes(), cut.bytes());
    report::write(&one.0).expect("drawn");
    let page = fs::read_to_string(one.0.join("report.html")).expect("written");
    assert!(page.contains("<svg") && page.contains("Payoff against") && !page.contains("<script"));
}

#[rstest]
fn a_folder_that_holds_something_else_is_not_touched() {
    let own = Own::new("other");
    fs::create_dir_all(&own.0).expect("made");
    fs::write(own.0.join("letter.txt"), "dear").expect("written");
    let said = play(&own, 1, usize::MAX).expect_err("refused");
    assert!(matches!(said, Stopped::Given(what) if what.contains("something else")));
    assert_eq!(fs::read_dir(&own.0).expect("there").count(), 1);
}

#[rstest]
fn another_experiment_s_folder_is_not_touched() {
    let own = Own::new("another");
    play(&own, 4, usize::MAX).expect("played");
    let before = own.bytes();
    fs::write(own.0.join("experiment.toml"), "about = \"else\"").expect("written");
    assert!(
        matches!(play(&own, 1, usize::MAX), Err(Stopped::Given(what)) if what.contains("another"))
    );
    assert_eq!(own.bytes(), before);
}

#[rstest]
fn an_interval_holds_the_mean_and_narrows_with_days() {
    let of = |days: usize| {
        estimate(&(0..days).map(|day| (day % 10) as f64).collect::<Vec<_>>()).expect("days")
    };
    let (few, many) = (of(10), of(1000));
    assert!(few.low < 4.5 && 4.5 < few.high && many.high - many.low < 0.2 * (few.high - few.low));
    assert_eq!(estimate(&[]), None);
}

#[rstest]
fn every_scenario_that_is_shipped_is_right() {
    for (name, _) in shipped::SHIPPED {
        let text = shipped::find(name).expect("there");
        Scenario::read(&text).unwrap_or_else(|what| panic!("{what}"));
    }
}
