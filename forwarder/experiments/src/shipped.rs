//! The scenarios of the folder `scenarios/`, which are compiled into the program.

use std::path::Path;

use plankhill_forwarder_config::tables::{nearest_of, Text};

macro_rules! shipped {
    ($($name:literal),* $(,)?) => {
        &[$(($name, include_str!(concat!("../../../scenarios/", $name, ".toml")))),*]
    };
}

/// The name and text of each shipped scenario.
pub const SHIPPED: &[(&str, &str)] = shipped![
    "ordinary-day",
    "eid-rush",
    "partner-silent",
    "hall-lost",
    "cold-return",
    "flapping",
    "limits-lowered",
    "tenant-floods",
    "rolling-replacement",
    "forwarders-die",
    "many-idle",
    "three-hundred",
    "all-together",
    "everything-down",
    "connections-short",
];

/// Reads the file of this name if it exists, otherwise the shipped scenario of this name.
pub fn find(name: &str) -> Result<Text, String> {
    if Path::new(name).exists() {
        return Text::read(Path::new(name));
    }
    if name.contains('/') || name.ends_with(".toml") {
        return Err(format!("{name}: there is no such file"));
    }
    Text::parse(format!("scenarios/{name}.toml"), named(name)?.to_owned())
}

/// The text of a shipped scenario.
pub fn named(name: &str) -> Result<&'static str, String> {
    let found = SHIPPED.iter().find(|(known, _)| *known == name);
    found.map(|(_, text)| *text).ok_or_else(|| {
        let nearest = nearest_of(name, SHIPPED.iter().map(|(known, _)| *known)).unwrap_or("none");
        format!("{name}: no file and no scenario of that name; the nearest is {nearest:?}")
    })
}

/// The description of a scenario: its key `about`.
pub fn about(name: &str, text: &str) -> Result<String, String> {
    let text = Text::parse(format!("scenarios/{name}.toml"), text.to_owned())?;
    let about = text.table().get("about").and_then(|about| about.as_str());
    about
        .map(str::to_owned)
        .ok_or_else(|| format!("scenarios/{name}.toml: about: is missing"))
}
