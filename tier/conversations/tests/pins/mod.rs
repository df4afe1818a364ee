//! Fixture files of pinned bytes: a line `Name hex` for each value; the hex digits are omitted for an
//! empty value.

// Each test binary uses only a part of this module.
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
                lines.insert(name, decode_hex(hex)).is_none(),
                "duplicate name {name}"
            );
        }
        Pins { lines }
    }

    /// Removes and returns the bytes pinned under a name; each name can be taken only once.
    pub fn take(&mut self, name: &str) -> Vec<u8> {
        self.lines
            .remove(name)
            .unwrap_or_else(|| panic!("no bytes are pinned for {name}"))
    }

    /// Checks that a value is encoded as the pinned bytes, and that these are decoded as the value.
    pub fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        let pinned = self.take(name);
        let encoded = postcard::to_stdvec(value).expect("a value that can be encoded");
        assert_eq!(
            encode_hex(&encoded),
            encode_hex(&pinned),
            "{name} is encoded differently"
        );
        let decoded: T = postcard::from_bytes(&pinned).expect("bytes that can be decoded");
        assert_eq!(&decoded, value, "{name} is decoded differently");
    }

    /// Checks that a key consists of the pinned bytes.
    pub fn check_bytes(&mut self, name: &str, bytes: &[u8]) {
        let pinned = self.take(name);
        assert_eq!(
            encode_hex(bytes),
            encode_hex(&pinned),
            "{name} is encoded differently"
        );
    }

    /// Checks that every line was used.
    pub fn finish(self) {
        assert!(
            self.lines.is_empty(),
            "pinned values that were not checked: {:?}",
            self.lines.keys()
        );
    }
}

/// All values from the first one on, where `next` returns the value after its argument. Used to list
/// all variants of an enum.
pub fn all_values<T>(next: impl Fn(Option<&T>) -> Option<T>) -> Vec<T> {
    let mut values: Vec<T> = Vec::new();
    while let Some(value) = next(values.last()) {
        values.push(value);
    }
    values
}

fn decode_hex(hex: &str) -> Vec<u8> {
    assert!(
        hex.len().is_multiple_of(2),
        "odd number of hex digits in {hex}"
    );
    let digits = (0..hex.len()).step_by(2).map(|at| &hex[at..at + 2]);
    digits
        .map(|pair| u8::from_str_radix(pair, 16).expect("two hex digits"))
        .collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
