//! A settings file is either accepted as a whole, or rejected with one error that names the line
//! and a remedy.

use cornelrail_lib::{
    name::Node,
    process::settings::{Assigner, Sending, Settings, Timing},
};
use miette::Diagnostic;
use std::time::Duration;

const SAMPLE: &str = include_str!("../../sample/entry-1.yaml");

fn report(text: &str) -> String {
    match Settings::parse(text, "entry.yaml") {
        Ok(_) => "valid\n".to_owned(),
        Err(error) => {
            let code = error.code().expect("every error has a code");
            let help = error.help().expect("every error has a remedy");
            format!("{error}\n{code}\n{help}\n")
        }
    }
}

/// The sample with line `line` replaced by `input`, or with `input` appended.
fn edited(line: Option<usize>, input: &str) -> String {
    let Some(line) = line else {
        return format!("{SAMPLE}{input}\n");
    };
    let lines: Vec<_> = SAMPLE.lines().collect();
    let before = lines[..line - 1].join("\n");
    let after = lines[line..].join("\n");
    format!("{before}\n{}\n{after}\n", input.trim_end())
}

#[test]
fn each_error_names_its_line_and_remedy() {
    datadriven::walk("tests/settings", |file| {
        file.run(|case| {
            let line = case
                .args
                .get("line")
                .map(|line| line[0].parse().expect("a line number"));
            assert_eq!(case.directive, "edit");
            report(&edited(line, &case.input))
        })
    });
}

#[test]
fn samples_are_valid_and_get_the_defaults() {
    let samples = [
        SAMPLE,
        include_str!("../../sample/entry-2.yaml"),
        include_str!("../../sample/entry-3.yaml"),
    ];

    let settings = samples.map(|text| Settings::parse(text, "sample").expect("a valid file"));

    let nodes = settings.each_ref().map(|settings| settings.node);
    assert_eq!(nodes, [Node(1), Node(2), Node(3)]);
    assert!(
        settings
            .iter()
            .all(|s| s.peers == settings[0].peers && s.is_voter())
    );
    assert_eq!(settings[0].timing, Timing::default());
    assert_eq!(settings[0].sending, Sending::Home);
    assert_eq!(settings[0].assigner, Assigner::Weighted);
    assert_eq!(settings[0].limits.head_time, Duration::from_secs(5));
}

crate::properties! {
    /// Parsing a truncated file with one changed byte never panics. It yields either settings with
    /// an odd number of voters, or an error with a line.
    fn damaged_files_are_accepted_or_rejected(cut: usize, at: usize, byte: u8) -> bool {
        let mut bytes = SAMPLE.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(cut % (2 * SAMPLE.len()));
        let text = String::from_utf8_lossy(&bytes);
        match Settings::parse(&text, "damaged") {
            Ok(settings) => settings.peers.iter().filter(|peer| peer.voter).count() % 2 == 1,
            Err(error) => error.line >= 1,
        }
    }
}
