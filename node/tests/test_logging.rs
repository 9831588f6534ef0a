//! Lines of the log carry number, name and fields; trace numbers go in and out.

use cornelrail_lib::process::event::Event;
use cornelrail_node::process::{logging, telemetry};
use flexi_logger::DeferredNow;
use http::{HeaderMap, HeaderValue};
use log::{Level, Record};
use serde_json::Value;

const TRACE: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

type Format = fn(&mut dyn std::io::Write, &mut DeferredNow, &Record<'_>) -> std::io::Result<()>;

/// Line that a format makes of a record.
fn line(format: Format, target: &str, text: &str) -> String {
    let mut out = Vec::new();
    let mut now = DeferredNow::new();
    let mut record = Record::builder();
    let record = record.level(Level::Warn).target(target);
    format(
        &mut out,
        &mut now,
        &record.args(format_args!("{text}")).build(),
    )
    .expect("written");
    String::from_utf8(out).expect("text")
}

#[test]
fn an_event_keeps_its_number_in_text_and_json() {
    let text = format!(
        "{} {} target=w-3",
        Event::TargetLost.code(),
        Event::TargetLost.name()
    );

    let plain = line(logging::text_line, "cornelrail::event", &text);
    let json = line(logging::json_line, "cornelrail::event", &text);

    assert!(
        plain.ends_with("Z WARN  CR0022 target-lost target=w-3"),
        "{plain}"
    );
    let json: Value = serde_json::from_str(&json).expect("one object");
    assert_eq!(json["event"], "CR0022");
    assert_eq!(json["name"], "target-lost");
    assert_eq!(json["text"], "target=w-3");
}

#[test]
fn a_line_break_in_a_value_forges_no_line() {
    let text = "CR0022 target-lost target=w-3\nCR0001 started\u{1b}[2J";

    let plain = line(logging::text_line, "cornelrail::event", text);
    let json = line(logging::json_line, "quinn", text);

    assert!(!plain.chars().any(char::is_control), "{plain}");
    assert!(!json.chars().any(char::is_control), "{json}");
}

#[test]
fn a_trace_goes_in_and_out() {
    let mut incoming = HeaderMap::new();
    incoming.insert("traceparent", HeaderValue::from_static(TRACE));
    let mut broken = HeaderMap::new();
    broken.insert("traceparent", HeaderValue::from_static("00-zz"));
    let mut outgoing = HeaderMap::new();
    let mut none = HeaderMap::new();

    telemetry::inject_context(&telemetry::extract(&incoming), &mut outgoing);
    telemetry::inject_context(&telemetry::extract(&broken), &mut none);

    assert_eq!(outgoing["traceparent"], TRACE);
    assert!(!none.contains_key("traceparent"));
}
