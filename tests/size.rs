//! The policy is ported by hand, so its size and line width are bounded. Its files are those in
//! deploy/balancer.toml.

use std::fs;
use std::path::{Path, PathBuf};

/// Bound on the lines that are not blank, over all files of the policy.
const MAX_LINES: usize = 1200;
const MAX_LINE_WIDTH: usize = 110;
/// Files that hold the interface of the crate and no decisions.
const INTERFACE_FILES: [&str; 3] = ["src/lib.rs", "src/interface.rs", "src/balancer.rs"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(file: &str) -> String {
    fs::read_to_string(root().join(file)).unwrap_or_else(|e| panic!("{file}: {e}"))
}

/// The policy's files as listed in the deploy file.
fn listed() -> Vec<String> {
    let deploy: toml::Table = read("deploy/balancer.toml").parse().expect("deploy/balancer.toml is TOML");
    let files = deploy["policy"].as_array().expect("a list of files");
    files.iter().map(|file| file.as_str().expect("a file's name").to_owned()).collect()
}

/// All Rust files in a directory and below, relative to the repository root.
fn sources(directory: PathBuf) -> Vec<String> {
    let entries = fs::read_dir(&directory).unwrap_or_else(|e| panic!("{}: {e}", directory.display()));
    let paths = entries.map(|entry| entry.expect("an entry of a directory").path());
    let (directories, files): (Vec<_>, Vec<_>) = paths.partition(|path| path.is_dir());
    let rust = files.into_iter().filter(|path| path.extension().is_some_and(|kind| kind == "rs"));
    let names = rust.map(|path| path.strip_prefix(root()).expect("below the root").display().to_string());
    names.chain(directories.into_iter().flat_map(sources)).collect()
}

#[test]
fn policy_has_under_1200_lines_of_at_most_110_characters() {
    let mut lines = 0;
    for file in listed() {
        let text = read(&file);
        lines += text.lines().filter(|line| !line.trim().is_empty()).count();
        for (index, line) in text.lines().enumerate() {
            let width = line.chars().count();
            assert!(width <= MAX_LINE_WIDTH, "{file}: line {} has {width} characters", index + 1);
        }
    }
    assert!(lines < MAX_LINES, "{lines} lines");
}

#[test]
fn deploy_file_lists_each_file_of_the_policy_once() {
    let mut listed = listed();
    listed.sort();
    let mut found: Vec<_> =
        ["src", "ring/src"].iter().flat_map(|directory| sources(root().join(directory))).collect();
    found.retain(|file| !INTERFACE_FILES.contains(&file.as_str()));
    found.sort();
    assert_eq!(listed, found);
}

#[test]
fn policy_names_its_interface_at_the_top() {
    let first = listed().first().map(|file| read(file)).expect("a file of the policy");
    assert!(first.lines().take(5).any(|line| line.contains("src/interface.rs")));
}
