//! Reads fixture files of stored bytes, with which tests of wire and disk formats compare. Shared by the tests of
//! several crates.
//!
//! A file has one case per line: a name, a colon and a space, and the bytes in hex. Lines that begin with `#` are
//! comments.

#![allow(dead_code, reason = "no test file uses all functions")]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Debug, Write};

/// The cases of one file, and the names of those that a test has already compared with.
pub struct StoredBytes {
    cases: BTreeMap<String, String>,
    compared: BTreeSet<String>,
}

impl StoredBytes {
    /// Reads those cases of a file whose names begin with `prefix`.
    pub fn read(text: &str, prefix: &str) -> Self {
        let lines = text
            .lines()
            .filter(|line| line.starts_with(prefix) && !line.is_empty() && !line.starts_with('#'));
        let case = |line: &str| {
            let (name, hex) = line.split_once(": ").expect("a line has a name and bytes in hex");
            (name.to_owned(), hex.to_owned())
        };
        StoredBytes { cases: lines.map(case).collect(), compared: BTreeSet::new() }
    }

    /// Checks that encoding a value gives the stored bytes, and that decoding the stored bytes gives the value.
    pub fn compare<T: Debug + PartialEq>(
        &mut self,
        name: &str,
        value: &T,
        encode: impl Fn(&T) -> Vec<u8>,
        decode: impl Fn(&[u8]) -> T,
    ) {
        let stored = self.bytes(name, &encode(value));
        assert_eq!(decode(&stored), *value, "{name}: the stored bytes decode to another value");
    }

    /// Checks that bytes are equal to the stored ones, and returns them.
    pub fn bytes(&mut self, name: &str, written: &[u8]) -> Vec<u8> {
        assert!(self.compared.insert(name.to_owned()), "{name}: this case has already been compared");
        let stored =
            self.cases.get(name).unwrap_or_else(|| panic!("{name}: no bytes are stored for this case"));
        assert_eq!(to_hex(written), *stored, "{name}: the encoded bytes differ from the stored ones");
        from_hex(stored)
    }

    /// All cases as names and bytes, in the order of the names.
    pub fn into_all(self) -> Vec<(String, Vec<u8>)> {
        self.cases.into_iter().map(|(name, hex)| (name, from_hex(&hex))).collect()
    }

    /// Checks that every stored case has been compared.
    pub fn finish(self) {
        let left: Vec<&String> = self.cases.keys().filter(|name| !self.compared.contains(*name)).collect();
        assert!(left.is_empty(), "stored cases that were not compared: {left:?}");
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
