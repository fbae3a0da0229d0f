//! Reads the files of stored bytes that tests of formats compare with; used by the tests of several crates.
//!
//! A file has one case a line: its name, a colon, and its bytes in hex. Lines that begin with `#` are comments.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Write};

/// The cases of one file, and which of them a test has compared with.
pub struct StoredBytes {
    cases: BTreeMap<String, String>,
    compared: BTreeSet<String>,
}

impl StoredBytes {
    /// Reads the cases of a file whose names begin with `prefix`.
    pub fn read(text: &str, prefix: &str) -> Self {
        let lines = text
            .lines()
            .filter(|line| line.starts_with(prefix) && !line.is_empty() && !line.starts_with('#'));
        let case = |line: &str| {
            let (name, hex) = line.split_once(": ").expect("a line holds a name and bytes in hex");
            (name.to_owned(), hex.to_owned())
        };
        StoredBytes { cases: lines.map(case).collect(), compared: BTreeSet::new() }
    }

    /// Compares the bytes of an encoded value with the stored ones, and the decoded stored bytes with the value.
    pub fn compare<T: Debug + PartialEq>(
        &mut self,
        name: &str,
        value: &T,
        encode: impl Fn(&T) -> Vec<u8>,
        decode: impl Fn(&[u8]) -> T,
    ) {
        let stored = self.bytes(name, &encode(value));
        assert_eq!(decode(&stored), *value, "{name}: the stored bytes are read as another value");
    }

    /// Compares bytes with the stored ones, which are returned.
    pub fn bytes(&mut self, name: &str, written: &[u8]) -> Vec<u8> {
        assert!(self.compared.insert(name.to_owned()), "{name}: there are two cases of this name");
        let stored = self.cases.get(name).unwrap_or_else(|| panic!("{name}: nothing is stored"));
        assert_eq!(to_hex(written), *stored, "{name}: the written bytes differ from the stored ones");
        from_hex(stored)
    }

    /// All stored bytes with their names, in the order of these.
    pub fn into_all(self) -> Vec<(String, Vec<u8>)> {
        self.cases.into_iter().map(|(name, hex)| (name, from_hex(&hex))).collect()
    }

    /// Checks that each stored case has been compared with.
    pub fn finish(self) {
        let left: Vec<&String> = self.cases.keys().filter(|name| !self.compared.contains(*name)).collect();
        assert!(left.is_empty(), "stored cases that no value was compared with: {left:?}");
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        text
    })
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).expect("hex digits are ASCII");
        u8::from_str_radix(pair, 16).expect("two hex digits")
    };
    digits.map(byte).collect()
}
