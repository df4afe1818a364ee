//! The results do not depend on cores and interruptions, and a folder with other content is not changed.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use plankhill_experiments::compare::estimate;
use plankhill_experiments::{report, run, shipped, ExperimentError, Folder, Plan};
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

/// A temporary folder for a test, removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!(
            "plankhill-experiments-{}-{name}",
            std::process::id()
        ));
        let _ = fs::remove_dir_all(&path);
        TempFolder(path)
    }
    fn bytes(&self) -> Vec<Vec<u8>> {
        ["days.jsonl", "days.csv", "compare.csv"]
            .map(|name| fs::read(self.0.join(name)).expect(name))
            .into()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn play(folder: &TempFolder, jobs: usize, most: usize) -> Result<(), ExperimentError> {
    let plan = plan();
    let folder = Folder::open(&folder.0, &plan)?;
    let (stop, played) = (AtomicBool::new(most == 0), AtomicUsize::new(0));
    run(&plan, &folder, jobs, &stop, || {
        if played.fetch_add(1, Ordering::Relaxed) + 1 >= most {
            stop.store(true, Ordering::Relaxed);
        }
    })
}

#[rstest]
fn results_do_not_depend_on_cores_and_interruptions() {
    let (one, four, interrupted) = (
        TempFolder::new("one"),
        TempFolder::new("four"),
        TempFolder::new("interrupted"),
    );
    play(&one, 1, usize::MAX).expect("played");
    play(&four, 4, usize::MAX).expect("played");
    assert_eq!(play(&interrupted, 1, 3), Err(ExperimentError::Interrupted));
    // A power failure left the last line incomplete.
    let days = interrupted.0.join("days.jsonl");
    let bytes = fs::read(&days).expect("begun");
    fs::write(&days, &bytes[..bytes.len() - 100]).expect("truncated");
    play(&interrupted, 2, usize::MAX).expect("continued");
    assert_eq!(one.bytes(), four.bytes());
    assert_eq!(one.bytes(), interrupted.bytes());
    report::write(&one.0).expect("drawn");
    let page = fs::read_to_string(one.0.join("report.html")).expect("written");
    assert!(page.contains("<svg") && page.contains("Payoff against") && !page.contains("<script"));
}

#[rstest]
fn a_folder_with_other_content_is_not_changed() {
    let folder = TempFolder::new("other");
    fs::create_dir_all(&folder.0).expect("made");
    fs::write(folder.0.join("letter.txt"), "dear").expect("written");
    let error = play(&folder, 1, usize::MAX).expect_err("refused");
    assert!(
        matches!(error, ExperimentError::InvalidInput(what) if what.contains("something else"))
    );
    assert_eq!(fs::read_dir(&folder.0).expect("there").count(), 1);
}

#[rstest]
fn a_folder_of_another_experiment_is_not_changed() {
    let folder = TempFolder::new("another");
    play(&folder, 4, usize::MAX).expect("played");
    let before = folder.bytes();
    fs::write(folder.0.join("experiment.toml"), "about = \"else\"").expect("written");
    assert!(
        matches!(play(&folder, 1, usize::MAX), Err(ExperimentError::InvalidInput(what)) if what.contains("another"))
    );
    assert_eq!(folder.bytes(), before);
}

#[rstest]
fn an_interval_contains_the_mean_and_narrows_with_days() {
    let of = |days: usize| {
        estimate(&(0..days).map(|day| (day % 10) as f64).collect::<Vec<_>>()).expect("days")
    };
    let (few, many) = (of(10), of(1000));
    assert!(few.low < 4.5 && 4.5 < few.high && many.high - many.low < 0.2 * (few.high - few.low));
    assert_eq!(estimate(&[]), None);
}

#[rstest]
fn every_shipped_scenario_is_valid() {
    for (name, _) in shipped::SHIPPED {
        let text = shipped::find(name).expect("there");
        Scenario::read(&text).unwrap_or_else(|what| panic!("{what}"));
    }
}
