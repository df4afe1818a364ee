//! Passes the commit from which the program is built to the compiler, for the records of experiments.

use std::process::Command;

fn main() {
    let git = |arguments: &[&str]| {
        let output = Command::new("git")
            .args(arguments)
            .output()
            .ok()
            .filter(|output| output.status.success())?;
        String::from_utf8(output.stdout)
            .ok()
            .map(|text| text.trim().to_owned())
    };
    let commit = git(&["rev-parse", "--short=12", "HEAD"]).unwrap_or_else(|| "unknown".into());
    println!("cargo:rustc-env=PLANKHILL_COMMIT={commit}");
    if let Some(folder) = git(&["rev-parse", "--absolute-git-dir"]) {
        println!("cargo:rerun-if-changed={folder}/HEAD");
        println!("cargo:rerun-if-changed={folder}/logs/HEAD");
    }
}
