//! Help, errors and exit codes of the command, as an operator sees them on a phone.

use crate::support::{root, run, run_in};
use insta::assert_snapshot;
use serde_json::Value;
use std::{fs, os::unix::fs::PermissionsExt};
use tempfile::TempDir;

/// Widest line that a phone shows without turning it.
const COLUMNS: usize = 48;
const TOPICS: [&str; 8] = [
    "check", "note", "status", "explain", "settings", "keys", "demo", "stand-in",
];

/// A folder with the first sample, one text replaced, as `entry.yaml`.
fn edited_sample(from: &str, to: &str) -> TempDir {
    let text = fs::read_to_string(root().join("sample/entry-1.yaml")).expect("the sample");
    assert!(text.contains(from));
    let folder = TempDir::new().expect("a folder");
    fs::write(folder.path().join("entry.yaml"), text.replace(from, to)).expect("written");
    folder
}

#[test]
fn help_of_the_bare_command_has_two_lines() {
    let help = run(&["--help"]);

    assert_eq!(help.out.lines().count(), 2);
    assert_snapshot!(help.screen());
}

#[test]
fn help_of_each_subcommand() {
    let screens = TOPICS.map(|topic| run(&[topic, "--help"]).screen());

    assert_snapshot!(screens.join("\n\n"));
}

#[test]
fn good_settings() {
    assert_snapshot!(run(&["settings", "check", "sample/entry-1.yaml"]).screen());
}

#[test]
fn bad_settings_are_one_error_with_line_and_remedy() {
    let edits = [
        ("zone: a\n", "zone: a\nzone: b\n"),
        ("fleet: sample", "flet: sample"),
        ("data: data-1\n", ""),
        ("127.0.0.1:7101", "localhost:7101"),
        (
            "operators:\n  - name",
            "timing: {drift: 20}\noperators:\n  - name",
        ),
    ];
    let args = ["settings", "check", "entry.yaml"];
    let folders = edits.map(|(from, to)| edited_sample(from, to));

    let screens = folders
        .each_ref()
        .map(|folder| run_in(folder.path(), &args).screen());
    let json = run_in(
        folders[0].path(),
        &["settings", "check", "entry.yaml", "--json"],
    );

    let json: Value = serde_json::from_str(&json.out).expect("one object");
    assert_eq!(json["code"], "cornelrail::settings::duplicate");
    assert_eq!(json["remedy"], "keep one of the two");
    assert_snapshot!(screens.join("\n"));
}

#[test]
fn bad_arguments_are_one_error_with_remedy() {
    let screens = [
        run(&[]),
        run(&["launch"]),
        run(&["status", "--fast"]),
        run(&["note", "apply"]),
        run(&[
            "note",
            "undo",
            "file",
            "--to",
            "127.0.0.1:1",
            "--token-file",
            "t",
        ]),
        run(&["status"]),
        run(&["status", "--to", "localhost"]),
        run(&[
            "explain",
            "payroll-core",
            "--to",
            "127.0.0.1:1",
            "--token-file",
            "t",
        ]),
        run(&["note", "apply", "f", "--wait", "6"]),
        run(&["keys", "make", "folder"]),
        run(&["settings", "check", "nowhere.yaml"]),
        run(&["demo", "--fault", "flood"]),
        run(&["demo", "--requests", "0"]),
        run(&["demo", "--load", "nan"]),
        run(&["stand-in", "w-1"]),
        run(&["stand-in", "w-1", "--entry", "here"]),
    ]
    .map(|run| run.screen());

    assert_snapshot!(screens.join("\n"));
}

#[test]
fn every_line_fits_a_phone() {
    let help = TOPICS.map(|topic| run(&[topic, "--help"]));
    let errors = [
        run(&[]),
        run(&["launch"]),
        run(&["keys", "make"]),
        run(&["settings", "check", "sample/entry-2.yaml"]),
    ];
    let wide: Vec<_> = help
        .iter()
        .chain(&errors)
        .flat_map(|run| run.out.lines().chain(run.err.lines()))
        .filter(|line| line.chars().count() > COLUMNS)
        .collect();

    assert_eq!(wide, Vec::<&str>::new());
}

#[test]
fn keys_are_private_and_never_overwritten() {
    let folder = TempDir::new().expect("a folder");
    let keys = folder.path().join("keys");
    let path = keys.to_str().expect("text");

    let made = run(&["keys", "make", path, "--nodes", "2"]);
    let key = fs::read(keys.join("entry-1.key")).expect("a key");
    let again = run(&["keys", "make", path, "--nodes", "2"]);
    let added = run(&["keys", "add", path, "--node", "3"]);
    let twice = run(&["keys", "add", path, "--node", "1"]);

    assert_eq!(
        (made.code, again.code, added.code, twice.code),
        (0, 1, 0, 1)
    );
    assert_eq!(fs::read(keys.join("entry-1.key")).expect("a key"), key);
    for file in ["authority.key", "entry-1.key", "entry-3.key"] {
        let mode = fs::metadata(keys.join(file))
            .expect("a file")
            .permissions()
            .mode();
        assert_eq!(mode & 0o077, 0, "{file} is open to others");
    }
}

#[test]
fn a_token_keeps_its_digest() {
    let folder = TempDir::new().expect("a folder");
    let file = folder.path().join("token");
    let path = file.to_str().expect("text");

    let made = run(&["keys", "token", path, "--json"]);
    let read = run(&["keys", "token", path, "--json"]);

    let token = fs::read_to_string(&file).expect("a token");
    let digest = blake3::hash(token.trim().as_bytes()).to_hex().to_string();
    assert_eq!(made.out, read.out);
    assert!(made.out.contains(&digest));
    assert!(!made.out.contains(token.trim()));
}

#[test]
fn the_page_of_the_command_has_its_help_and_exit_codes() {
    let page = fs::read_to_string(root().join("docs/CLI.md")).expect("the page");
    let exits = fs::read_to_string(root().join("cli/src/exit.rs")).expect("the codes");
    let bare = run(&["--help"]).out;
    let helps = TOPICS.map(|topic| run(&[topic, "--help"]).out);

    for help in helps.iter().chain([&bare]) {
        assert!(page.contains(&format!("```text\n{help}```")), "{help}");
    }
    let codes: Vec<_> = exits
        .lines()
        .filter_map(|line| line.strip_suffix(';')?.split("u8 = ").nth(1))
        .collect();
    assert_eq!(codes.len(), 8);
    for code in codes {
        assert!(page.contains(&format!("| {code} | ")), "{code}");
    }
}
