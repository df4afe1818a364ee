//! The commit that the program is built from, for the records of experiments.

use std::process::Command;

fn main() {
    let said = |words: &[&str]| {
        let output = Command::new("git")
            .args(words)
            .output()
            .ok()
            .filter(|output| output.status.success())?;
        String::from_utf8(output.stdout)
            .ok()
            .map(|text| text.trim().to_owned())
    };
    let commit = said(&["rev-parse", "--short=12", "HEAD"]).unwrap_or_else(|| "unknown".into());
    println!("cargo:rustc-env=PLANKHILL_COMMIT={commit}");
    if let Some(folder) = said(&["rev-parse", "--absolute-git-dir"]) {
        println!("cargo:rerun-if-changed={folder}/HEAD");
        println!("cargo:rerun-if-changed={folder}/logs/HEAD");
    }
}
