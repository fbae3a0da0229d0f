//! The policy is to be ported by hand: it stays small and narrow. Its files are those that the deploy file lists.

use std::fs;
use std::path::{Path, PathBuf};

/// Lines that are not blank, over all files of the policy, stay below this.
const MOST_LINES: usize = 1200;
const MOST_CHARACTERS: usize = 110;
/// The interface of the crate, without decisions.
const NOT_POLICY: [&str; 3] = ["src/lib.rs", "src/interface.rs", "src/balancer.rs"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(file: &str) -> String {
    fs::read_to_string(root().join(file)).unwrap_or_else(|e| panic!("{file}: {e}"))
}

/// The policy's files as the deploy file lists them.
fn listed() -> Vec<String> {
    let deploy: toml::Table = read("deploy/balancer.toml").parse().expect("deploy/balancer.toml is TOML");
    let files = deploy["policy"].as_array().expect("a list of files");
    files.iter().map(|file| file.as_str().expect("a file's name").to_owned()).collect()
}

/// All Rust files in a folder and below, from the root of the repository.
fn sources(folder: PathBuf) -> Vec<String> {
    let entries = fs::read_dir(&folder).unwrap_or_else(|e| panic!("{}: {e}", folder.display()));
    let paths = entries.map(|entry| entry.expect("an entry of a folder").path());
    let (folders, files): (Vec<_>, Vec<_>) = paths.partition(|path| path.is_dir());
    let rust = files.into_iter().filter(|path| path.extension().is_some_and(|kind| kind == "rs"));
    let names = rust.map(|path| path.strip_prefix(root()).expect("below the root").display().to_string());
    names.chain(folders.into_iter().flat_map(sources)).collect()
}

#[test]
fn policy_has_under_1200_lines_of_at_most_110_characters() {
    let mut lines = 0;
    for file in listed() {
        let text = read(&file);
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= MOST_CHARACTERS, "{file}: line {} has {width} characters", index + 1);
        }
    }
    assert!(lines < MOST_LINES, "{lines} lines");
}

#[test]
fn deploy_file_lists_each_file_of_the_policy_once() {
    let mut listed = listed();
    listed.sort();
    let mut found: Vec<_> =
        ["src", "ring/src"].iter().flat_map(|folder| sources(root().join(folder))).collect();
    found.retain(|file| !NOT_POLICY.contains(&file.as_str()));
    found.sort();
    assert_eq!(listed, found);
}

#[test]
fn policy_names_its_interface_at_the_top() {
    let first = listed().first().map(|file| read(file)).expect("a file of the policy");
    assert!(first.lines().take(5).any(|line| line.contains("src/interface.rs")));
}
