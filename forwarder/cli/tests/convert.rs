//! `plankhill convert` as a process: a forwarder must be able to load each file that it writes.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use rstest::rstest;
use serde_json::{json, Value};

fn old_config() -> Value {
    json!({"name": "n3", "listen": "127.0.0.1:7", "discovery": "127.0.0.1:9", "seed": "8c1f", "ours": {"kept": 1},
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": {"revision": 1, "complete": true, "members": [{"id": "a", "size": 1.0}]},
        "settings": {"me": 0, "balancers": 2, "shapes": ["k"], "zones": ["z"], "prices": {"probe": 0.01},
            "allowed": {"attemptsCap": 6, "maxOpen": 20, "probes": true, "retryAfter": true},
            "familyInfo": {"slots": 4, "losesWorth": "linear"}, "report": {"columns": [], "via": "silent"},
            "profiles": [{"name": "p", "semantics": "pure", "aimUs": 1, "deadlineUs": 2, "credit": 1,
                "lateWorth": 0.1}],
            "rules": {"coldFrom": 0.2, "coldUs": 9000000, "tipMultiple": 2}}})
}

struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str, config: &str) -> Self {
        let dir =
            std::env::temp_dir().join(format!("plankhill-convert-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).expect("a folder for the test");
        fs::write(dir.join("old.json"), config).expect("a file for the test");
        TestFolder(dir)
    }

    fn convert(&self, from: &str, to: &str, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_plankhill"));
        command
            .arg("convert")
            .arg(self.0.join(from))
            .arg(self.0.join(to))
            .args(arguments)
            .output()
            .expect("starts")
    }

    fn text(&self, name: &str) -> String {
        fs::read_to_string(self.0.join(name)).expect("was written")
    }

    fn files(&self) -> usize {
        fs::read_dir(&self.0).expect("is there").count()
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn load_config(path: &Path) -> plankhill_forwarder_config::ForwarderConfig {
    let config = plankhill_forwarder_config::load_config(|variable| match variable {
        "PROXY_CONFIG" => Some(path.display().to_string()),
        "PROXY_STATE" => Some("/state".into()),
        _ => None,
    });
    config.expect("a valid configuration")
}

#[rstest]
#[case::sizes_not_reported("silent")]
#[case::sizes_of_another_kind("live")]
fn an_old_file_is_converted_to_a_file_that_a_forwarder_loads(#[case] sizes: &str) {
    let mut old = old_config();
    old["settings"]["weightKind"] = json!(sizes);
    let folder = TestFolder::new(sizes, &old.to_string());
    let output = folder.convert("old.json", "new.json", &["--retry-after", "off"]);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let stdout = String::from_utf8(output.stdout).expect("text");
    for line in [
        "set   settings.allowed.probes: true is false now",
        "set   settings.allowed.retryAfter: true is false now",
        "left  known: 1 sizes are no rates and are dropped",
        "left  settings.prices.probe: kept, but pings are barred",
    ] {
        assert!(stdout.contains(line), "{line}\n{stdout}");
    }
    let new = load_config(&folder.0.join("new.json"));
    assert!(!new.decisions.health_checks_allowed && new.decisions.max_retry_after.is_none());
    assert!(new.names.sizes_are_rates && new.names.limit_remaining_column == Some(0));
    let text: Value = serde_json::from_str(&folder.text("new.json")).expect("is JSON");
    assert_eq!(text["ours"], json!({"kept": 1}), "unknown keys are kept");
    assert_eq!(
        folder.text("old.json"),
        old.to_string(),
        "the input is unchanged"
    );
    assert!(
        load_config(&folder.0.join("old.json"))
            .decisions
            .health_checks_allowed,
        "an old file is still loaded as before"
    );
}

#[rstest]
fn a_file_of_the_new_format_is_unchanged() {
    let folder = TestFolder::new("again", &old_config().to_string());
    folder.convert("old.json", "new.json", &[]);
    let output = folder.convert("new.json", "newer.json", &[]);
    assert!(output.status.success() && !String::from_utf8_lossy(&output.stdout).contains("set "));
    assert_eq!(folder.text("new.json"), folder.text("newer.json"));
}

#[rstest]
#[case::dry("new.json", &["--dry-run"], 0, "")]
#[case::itself("old.json", &[], 2, "old.json: exists already")]
fn nothing_is_written_or_overwritten(
    #[case] to: &str,
    #[case] arguments: &[&str],
    #[case] status: i32,
    #[case] message: &str,
) {
    let folder = TestFolder::new(&format!("nothing-{status}"), &old_config().to_string());
    let output = folder.convert("old.json", to, arguments);
    assert_eq!(output.status.code(), Some(status));
    assert!(String::from_utf8_lossy(&output.stderr).contains(message));
    assert_eq!(
        (folder.files(), folder.text("old.json")),
        (1, old_config().to_string())
    );
}

#[rstest]
#[case::no_json("/name", None, "old.json: not JSON")]
#[case::slots("/settings/familyInfo/slots", Some(json!(0)), "old.json: settings.familyInfo.slots: is 0")]
#[case::report("/settings/report", Some(json!(7)), "old.json: settings.report.via: not in an object")]
#[case::shares("/settings/projects", Some(json!([{"name": "a", "quotaPerS": 0}])),
    "old.json: settings.projects[0].quotaPerS: 0 is not above 0")]
fn an_invalid_file_gives_one_line_and_writes_nothing(
    #[case] at: &str,
    #[case] value: Option<Value>,
    #[case] message: &str,
) {
    let mut config = old_config();
    let text = match value {
        None => "{".into(),
        Some(value) => {
            let (table, key) = at.rsplit_once('/').expect("a path");
            config.pointer_mut(table).expect("is there")[key] = value;
            config.to_string()
        }
    };
    let folder = TestFolder::new(&at.replace('/', "-"), &text);
    let output = folder.convert("old.json", "new.json", &[]);
    let stderr = String::from_utf8(output.stderr).expect("text");
    assert!(
        output.status.code() == Some(2) && stderr.contains(message),
        "{stderr}"
    );
    assert_eq!((stderr.trim_end().lines().count(), folder.files()), (1, 1));
}
