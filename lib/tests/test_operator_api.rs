//! Answers to operators survive both encodings: postcard between entries, JSON to the command line
//! tool.

use cornelrail_lib::{
    name::Version,
    process::operator_api::{CheckAnswer, NoteAnswer, NoteSummary, effect_lines},
    version::{fleet::Fleet, note::Note},
};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

fn assert_survives_encodings<T: Serialize + DeserializeOwned + PartialEq + Debug>(answer: &T) {
    let bytes = postcard::to_stdvec(answer).expect("postcard");
    let text = serde_json::to_string(answer).expect("JSON");

    assert_eq!(postcard::from_bytes::<T>(&bytes).as_ref(), Ok(answer));
    assert_eq!(serde_json::from_str::<T>(&text).expect("JSON"), *answer);
}

#[test]
fn answers_survive_postcard_and_json() {
    let reason = || "N108: the note changes nothing".to_owned();
    let winner = NoteSummary {
        version: Version(7),
        author: "bea".to_owned(),
        digest: "d".to_owned(),
    };

    assert_survives_encodings(&NoteAnswer::Accepted {
        version: Version(7),
        index: 41,
        digest: "d".to_owned(),
    });
    assert_survives_encodings(&NoteAnswer::Refused { reason: reason() });
    assert_survives_encodings(&NoteAnswer::Conflict {
        winner,
        differences: vec!["zone b".to_owned()],
    });
    assert_survives_encodings(&NoteAnswer::Unknown { reason: reason() });
    assert_survives_encodings(&CheckAnswer::Refused { reason: reason() });
}

#[test]
fn effect_has_one_sentence_per_line() {
    let text = include_str!("../../sample/first-note.yaml");
    let note = Note::parse(text).expect("a valid note");

    let effect = note.check(&Fleet::default()).expect("an applicable note");

    let lines = effect_lines(&effect);
    assert!(lines.contains(&"adds zone a".to_owned()), "{lines:?}");
    assert!(
        lines.iter().all(|line| !line.starts_with(['-', ' '])),
        "{lines:?}"
    );
}
