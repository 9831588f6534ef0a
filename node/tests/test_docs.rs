//! The pages say what the code does.

use cornelrail_lib::{
    process::{
        event::{Event, Severity},
        settings::Settings,
    },
    request::outcome::{Certainty, RefusalReason},
};
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

/// The points of the users' brief that must always hold.
const POINTS: usize = 10;
const REASONS: [RefusalReason; 12] = [
    RefusalReason::BadRequest,
    RefusalReason::NoService,
    RefusalReason::NoOwner,
    RefusalReason::Stale,
    RefusalReason::Overload,
    RefusalReason::Deadline,
    RefusalReason::TargetFailed,
    RefusalReason::EntryFailed,
    RefusalReason::Repeated,
    RefusalReason::Quarantined,
    RefusalReason::Shutdown,
    RefusalReason::NoRecord,
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn read(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap_or_else(|e| panic!("{path}: {e}"))
}

/// Cells of all rows of the tables of a page, without heads and rules.
fn rows(page: &str) -> Vec<Vec<String>> {
    let text = read(page);
    let lines: Vec<_> = text.lines().collect();
    let is_rule = |line: &&str| line.starts_with("| ---");
    lines
        .iter()
        .enumerate()
        .filter(|(i, line)| {
            line.starts_with('|') && !is_rule(line) && !lines.get(i + 1).is_some_and(is_rule)
        })
        .map(|(_, line)| {
            let inner = line.trim_matches('|');
            inner
                .split(" | ")
                .map(|cell| cell.trim().trim_matches('`').to_owned())
                .collect()
        })
        .collect()
}

/// All Rust sources under a folder, as one text.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            text += &sources(&path);
        } else if path.extension().is_some_and(|end| end == "rs") {
            text += &fs::read_to_string(&path).expect("a source");
        }
    }
    text
}

/// All words of a text that begin with `prefix` and go on with characters of `allowed`.
fn words(text: &str, prefix: &str, allowed: fn(char) -> bool) -> BTreeSet<String> {
    text.match_indices(prefix)
        .map(|(at, _)| {
            let rest = &text[at + prefix.len()..];
            let end = rest.find(|c| !allowed(c)).unwrap_or(rest.len());
            format!("{prefix}{}", &rest[..end])
        })
        .filter(|word| word.len() > prefix.len())
        .collect()
}

/// Keys of a settings value, with their values, as `section.key`.
fn keys(value: &Value, path: &str, found: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(object) => {
            for (key, value) in object {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                keys(value, &path, found);
            }
        }
        Value::Array(list) => list.iter().for_each(|value| keys(value, path, found)),
        Value::String(text) => drop(found.insert(path.to_owned(), text.clone())),
        Value::Null => drop(found.insert(path.to_owned(), "none".to_owned())),
        other => drop(found.insert(path.to_owned(), other.to_string())),
    }
}

#[test]
fn every_event_stands_in_the_catalogue() {
    let catalogue: Vec<Vec<String>> = rows("docs/EVENTS.md")
        .into_iter()
        .map(|row| row[..3].to_vec())
        .collect();
    let code: Vec<Vec<String>> = Event::ALL
        .iter()
        .map(|event| {
            let level = match event.severity() {
                Severity::Error => "error",
                Severity::Warn => "warn",
                Severity::Info => "info",
                Severity::Debug => "debug",
            };
            vec![event.code(), event.name().to_owned(), level.to_owned()]
        })
        .collect();
    let numbers: BTreeSet<_> = Event::ALL.iter().map(|event| event.number()).collect();

    assert_eq!(catalogue, code);
    assert_eq!(numbers.len(), Event::ALL.len(), "a number is used twice");
}

#[test]
fn events_that_nothing_logs_are_said_to_be() {
    let code = sources(&root().join("node/src"));
    let is_logged = |event: &&Event| {
        let name = format!("Event::{event:?}");
        let ends = |(at, _): (usize, &str)| {
            let next = code[at + name.len()..].chars().next();
            !next.is_some_and(char::is_alphanumeric)
        };
        code.match_indices(&name).any(ends)
    };
    let silent = Event::ALL.iter().filter(|event| !is_logged(event));
    let silent: Vec<_> = silent.map(|event| event.code()).collect();
    let page = read("docs/EVENTS.md");

    let listed: Vec<_> = page
        .lines()
        .filter_map(|line| line.strip_prefix("- CR"))
        .collect();

    let listed: Vec<_> = listed.iter().map(|number| format!("CR{number}")).collect();
    assert_eq!(listed, silent);
}

#[test]
fn every_setting_is_documented_with_its_default() {
    let sample = read("sample/entry-1.yaml");
    let settings = Settings::parse(&sample, "sample").expect("a good file");
    let value = serde_json::to_value(settings).expect("settings serialize");
    let mut code = BTreeMap::new();
    keys(&value, "", &mut code);
    let page: BTreeMap<String, String> = rows("docs/SETTINGS.md")
        .into_iter()
        .map(|row| (row[0].clone(), row[1].clone()))
        .collect();

    assert_eq!(
        page.keys().collect::<Vec<_>>(),
        code.keys().collect::<Vec<_>>()
    );
    let optional = ["timing.", "log.", "limits.", "once.", "sending", "assigner"];
    for (key, default) in &page {
        if optional.iter().any(|part| key.starts_with(part)) {
            assert_eq!(default, &code[key], "default of {key}");
        }
    }
}

#[test]
fn every_metric_is_documented() {
    let is_name = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    let code = words(&sources(&root().join("node/src")), "\"cornelrail_", is_name);
    let code: BTreeSet<_> = code
        .iter()
        .map(|name| name.trim_matches('"').to_owned())
        .collect();
    let page: BTreeSet<_> = rows("docs/METRICS.md")
        .into_iter()
        .map(|row| row[0].clone())
        .collect();

    assert_eq!(page, code);
}

#[test]
fn every_header_and_refusal_is_documented() {
    let header = read("lib/src/request/header.rs");
    let names: BTreeSet<_> = header
        .lines()
        .filter_map(|line| line.strip_prefix("pub const ")?.split('"').nth(1))
        .collect();
    let table = rows("docs/PROTOCOLS.md");
    let first: BTreeSet<_> = table.iter().map(|row| row[0].as_str()).collect();
    let status = |reason: RefusalReason| {
        let statuses = [Certainty::NotRun, Certainty::Unknown].map(|c| reason.status(c));
        match statuses {
            [a, b] if a == b => a.to_string(),
            [a, b] => format!("{a} or {b}"),
        }
    };

    assert!(names.is_subset(&first), "{:?}", names.difference(&first));
    for reason in REASONS {
        let row = table.iter().find(|row| row[0] == reason.name());
        let row = row.unwrap_or_else(|| panic!("{} is not documented", reason.name()));
        assert_eq!(row[1], status(reason), "{}", reason.name());
    }
}

#[test]
fn every_numbered_refusal_is_explained() {
    let page = read("docs/OPERATORS.md");
    let code = sources(&root().join("lib/src/version")) + &sources(&root().join("node/src"));
    let is_digit = |c: char| c.is_ascii_digit();
    let numbers = words(&code, "\"N1", is_digit)
        .into_iter()
        .chain(words(&code, "\"E4", is_digit));

    for number in numbers {
        let row = format!("| {} |", number.trim_matches('"'));
        assert!(page.contains(&row), "{row} is not explained");
    }
}

#[test]
fn every_proof_names_tests_that_exist() {
    let table = rows("docs/PROOFS.md");
    let points = table.iter().filter(|row| {
        let number = row[0]
            .split('.')
            .next()
            .and_then(|number| number.parse().ok());
        number.is_some_and(|number: usize| (1..=POINTS).contains(&number))
    });
    let named = words(&read("docs/PROOFS.md"), "`cornelrail-", |c| {
        c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | ':')
    });

    assert_eq!(points.count(), POINTS);
    for name in named {
        let parts: Vec<_> = name.trim_matches('`').split("::").collect();
        let [package, module, function] = parts[..] else {
            panic!("{name} is not package::module::function");
        };
        let folder = match package {
            "cornelrail-lib" => "lib",
            "cornelrail-node" => "node",
            "cornelrail-cli" => "cli",
            "cornelrail-testutils" => "testutils",
            _ => panic!("{name} names no package"),
        };
        let test = read(&format!("{folder}/tests/{module}.rs"));
        let runner = read(&format!("{folder}/tests/runner.rs"));
        assert!(
            test.contains(&format!("fn {function}(")),
            "{name} does not exist"
        );
        assert!(
            runner.contains(&format!("mod {module};")),
            "{name} does not run"
        );
    }
}

#[test]
fn the_readme_has_one_command_to_try_and_one_to_test() {
    let readme = read("README.md");
    let command = |head: &str| {
        let (_, rest) = readme
            .split_once(&format!("## {head}\n"))
            .expect("a section");
        let section = rest.split("\n## ").next().expect("a section");
        let fences: Vec<_> = section.split("```").collect();
        assert_eq!(fences.len(), 3, "one fenced command under {head}");
        fences[1].trim_start_matches("console").trim().to_owned()
    };
    let ci = read(".ci/run");

    let demo = command("Try it");
    let test = command("Test");

    assert_eq!(
        demo,
        "cargo run --release --bin cornelrail -- demo --requests 1000"
    );
    assert!(ci.contains(&test), "CI runs {test}");
}

#[test]
fn every_link_leads_somewhere() {
    let pages = ["README.md", "DEVELOPERS.md", "CHANGELOG.md"].map(str::to_owned);
    let folder = fs::read_dir(root().join("docs")).expect("pages");
    let names = folder.map(|entry| entry.expect("a page").file_name().into_string());
    let docs = names.map(|name| format!("docs/{}", name.expect("text")));

    for page in pages
        .into_iter()
        .chain(docs.filter(|name| name.ends_with(".md")))
    {
        let text = read(&page);
        let links = text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next());
        for link in links.filter(|link| !link.contains("://")) {
            let place = root().join(&page).with_file_name(link);
            assert!(place.exists(), "{page} links to {link}");
        }
    }
}

/// An upgrade begins with the landing before, whose messages the page on releases lists.
#[test]
fn the_release_in_production_is_one_that_the_page_on_releases_lists() {
    let deploy = read("deploy/system.toml");
    let production = deploy
        .lines()
        .find_map(|line| line.strip_prefix("production = \"")?.strip_suffix('"'));

    let commit = production.expect("`production` in deploy/system.toml");

    assert_eq!(commit.len(), 40, "{commit}");
    let listed = rows("docs/design/releases.md");
    let is_listed = |row: &Vec<String>| row[0].len() == 7 && commit.starts_with(&row[0]);
    assert!(listed.iter().any(is_listed), "{commit} is not listed");
}
