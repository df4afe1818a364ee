//! Fixture files of pinned bytes: a line `Name hex` for each value; without hex for a value of no bytes.

// Each test uses a part of this module.
#![allow(dead_code)]

pub mod values;

use std::collections::BTreeMap;
use std::fmt::Debug;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// The pinned bytes of one fixture file, by the names of its values.
pub struct Pins {
    lines: BTreeMap<&'static str, Vec<u8>>,
}

impl Pins {
    /// Reads the content of a fixture file.
    pub fn parse(text: &'static str) -> Self {
        let mut lines = BTreeMap::new();
        for line in text.lines() {
            let (name, hex) = line.split_once(' ').unwrap_or((line, ""));
            assert!(
                lines.insert(name, bytes_of(hex)).is_none(),
                "{name} stands twice"
            );
        }
        Pins { lines }
    }

    /// The bytes pinned under a name, each of which is asked for once.
    pub fn take(&mut self, name: &str) -> Vec<u8> {
        self.lines
            .remove(name)
            .unwrap_or_else(|| panic!("no bytes are pinned for {name}"))
    }

    /// Checks that a value is written as the pinned bytes, and that they are read as the value.
    pub fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        let pinned = self.take(name);
        let written = postcard::to_stdvec(value).expect("a value that can be written");
        assert_eq!(
            hex_of(&written),
            hex_of(&pinned),
            "{name} is written otherwise"
        );
        let read: T = postcard::from_bytes(&pinned).expect("bytes that can be read");
        assert_eq!(&read, value, "{name} is read otherwise");
    }

    /// Checks that a key consists of the pinned bytes.
    pub fn check_bytes(&mut self, name: &str, bytes: &[u8]) {
        let pinned = self.take(name);
        assert_eq!(
            hex_of(bytes),
            hex_of(&pinned),
            "{name} is written otherwise"
        );
    }

    /// Checks that every line was used.
    pub fn finish(self) {
        assert!(
            self.lines.is_empty(),
            "pinned and never checked: {:?}",
            self.lines.keys()
        );
    }
}

/// Every variant of an enum, in the order of a chain from each one to the next.
pub fn chain<T>(next: impl Fn(Option<&T>) -> Option<T>) -> Vec<T> {
    let mut values: Vec<T> = Vec::new();
    while let Some(value) = next(values.last()) {
        values.push(value);
    }
    values
}

fn bytes_of(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "half a byte in {hex}");
    let digits = (0..hex.len()).step_by(2).map(|at| &hex[at..at + 2]);
    digits
        .map(|pair| u8::from_str_radix(pair, 16).expect("two hex digits"))
        .collect()
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
