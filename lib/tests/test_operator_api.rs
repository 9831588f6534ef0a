//! Answers to operators pass between entries, as postcard, and to the command, as JSON.

use cornelrail_lib::{
    name::Version,
    process::operator_api::{CheckAnswer, NoteAnswer, Winner, effect_lines},
    version::{fleet::Fleet, note::Note},
};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

fn passes<T: Serialize + DeserializeOwned + PartialEq + Debug>(answer: &T) {
    let bytes = postcard::to_stdvec(answer).expect("postcard");
    let text = serde_json::to_string(answer).expect("JSON");

    assert_eq!(postcard::from_bytes::<T>(&bytes).as_ref(), Ok(answer));
    assert_eq!(serde_json::from_str::<T>(&text).expect("JSON"), *answer);
}

#[test]
fn answers_pass_between_entries_and_to_the_command() {
    let reason = || "N108: the note changes nothing".to_owned();
    let winner = Winner {
        version: Version(7),
        author: "bea".to_owned(),
        digest: "d".to_owned(),
    };

    passes(&NoteAnswer::Accepted {
        version: Version(7),
        index: 41,
        digest: "d".to_owned(),
    });
    passes(&NoteAnswer::Refused { reason: reason() });
    passes(&NoteAnswer::Conflict {
        winner,
        differences: vec!["zone b".to_owned()],
    });
    passes(&NoteAnswer::Unknown { reason: reason() });
    passes(&CheckAnswer::Refused { reason: reason() });
}

#[test]
fn an_effect_is_one_sentence_a_line() {
    let text = include_str!("../../sample/first-note.yaml");
    let note = Note::parse(text).expect("a good note");

    let effect = note.check(&Fleet::default()).expect("a fit note");

    let lines = effect_lines(&effect);
    assert!(lines.contains(&"adds zone a".to_owned()), "{lines:?}");
    assert!(
        lines.iter().all(|line| !line.starts_with(['-', ' '])),
        "{lines:?}"
    );
}
