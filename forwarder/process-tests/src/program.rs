//! The program under test: built once, found beside the stories.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

const NAME: &str = "plankhill-forwarder";

/// The built program, or the one that `PLANKHILL_FORWARDER` names. Where the stories alone are tested, nobody has built it, or not from this text.
pub fn path() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        if let Some(named) = std::env::var_os("PLANKHILL_FORWARDER") {
            return named.into();
        }
        let story = std::env::current_exe().expect("runs from a file");
        let profile = story
            .parent()
            .and_then(Path::parent)
            .expect("target/PROFILE/deps/STORY");
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
            "{NAME} cannot be built"
        );
        profile.join(NAME)
    })
}
