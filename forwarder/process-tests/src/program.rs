//! The program under test: built once per test process, into the target directory of the tests.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

const NAME: &str = "plankhill-forwarder";

/// Returns the path of the program: the one in `PLANKHILL_FORWARDER` if it is set, otherwise the result of a build.
/// Cargo builds no binary of another package for these tests, and an existing one may be outdated.
pub fn path() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        if let Some(named) = std::env::var_os("PLANKHILL_FORWARDER") {
            return named.into();
        }
        let test_binary = std::env::current_exe().expect("runs from a file");
        let profile = test_binary
            .parent()
            .and_then(Path::parent)
            .expect("target/PROFILE/deps/TEST");
        let target = profile.parent().expect("target/PROFILE");
        let mut build = Command::new(std::env::var_os("CARGO").unwrap_or("cargo".into()));
        build
            .args([
                "build",
                "--locked",
                "--quiet",
                "-p",
                NAME,
                "--bin",
                NAME,
                "--target-dir",
            ])
            .arg(target);
        build.args([
            "--manifest-path",
            concat!(env!("CARGO_MANIFEST_DIR"), "/../../Cargo.toml"),
        ]);
        if profile.ends_with("release") {
            build.arg("--release");
        }
        assert!(
            build.status().expect("cargo runs").success(),
            "cannot build {NAME}"
        );
        profile.join(NAME)
    })
}
