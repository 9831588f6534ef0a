//! `cornelrail check`: its findings, its exit codes and its output.

use crate::support::{Run, run_in};
use insta::assert_snapshot;
use serde_json::{Value, json};
use std::fs;
use tempfile::TempDir;

fn route(prefix: &str, version: &str) -> Value {
    json!({"host": "h.example", "pathPrefix": prefix, "kind": "safe", "timeout": "1500ms",
        "targetLatency": "1s", "priority": 1, "service": "pool", "maxAttempts": 2,
        "version": version})
}

fn items() -> Value {
    json!({
        "routes": {"r": route("/r/", "00000007")},
        "services": {"pool": {"healthPath": "/health", "version": "00000007"}},
        "limits": {"headerTimeout": "3s", "idleTimeout": "15s", "version": "00000007"},
    })
}

/// Checks a file, against another one if it is given.
fn check(new: &Value, current: Option<&Value>, more: &[&str]) -> Run {
    let folder = TempDir::new().expect("a folder");
    fs::write(folder.path().join("new.json"), new.to_string()).expect("written");
    let mut args = vec!["check", "new.json"];
    if let Some(current) = current {
        fs::write(folder.path().join("current.json"), current.to_string()).expect("written");
        args.extend(["--against", "current.json"]);
    }
    args.extend(more);
    run_in(folder.path(), &args)
}

#[test]
fn items_in_good_order_have_no_findings() {
    let call = json!({"upsert": items(), "remove": {"routes": []}});

    for new in [&items(), &call] {
        let run = check(new, None, &[]);
        assert_eq!(
            (run.code, run.out.as_str()),
            (0, "errors: 0, warnings: 0\n")
        );
    }
    assert_eq!(check(&items(), Some(&items()), &[]).code, 0);
}

#[test]
fn each_error_that_the_leader_refuses() {
    let mut new = items();
    let edits = [
        ("bare", "pathPrefix", json!("x")),
        ("long", "timeout", json!("601s")),
        ("lost", "service", json!("nowhere")),
        (
            "negative",
            "backends",
            json!([{"service": "pool", "weight": -1}]),
        ),
        (
            "none",
            "backends",
            json!([{"service": "pool", "weight": 0}]),
        ),
        ("text", "timeout", json!("soon")),
        ("zero", "timeout", json!("0ms")),
    ];
    for (name, field, value) in edits {
        let mut route = route(&format!("/{name}/"), "00000008");
        route[field] = value;
        route["targetLatency"] = Value::Null;
        new["routes"][name] = route;
    }

    let run = check(&new, None, &[]);

    assert_eq!(run.code, 1);
    assert_snapshot!(run.screen());
}

#[test]
fn each_warning() {
    let mut new = items();
    new["routes"]["twin"] = route("/r/", "00000007");
    new["routes"]["late"] = route("/late/", "00000007");
    new["routes"]["late"]["targetLatency"] = json!("2s");
    new["routes"]["once"] = route("/once/", "00000007");
    new["routes"]["once"]["kind"] = json!("unsafe");
    let backends = json!([{"service": "pool"}, {"service": "idle", "weight": 0}]);
    new["routes"]["split"] = route("/split/", "00000007");
    new["routes"]["split"]["backends"] = backends;
    for name in ["idle", "unused"] {
        new["services"][name] = json!({"healthPath": "/", "version": "00000007"});
    }
    new["services"]["pool"]["coldPerS"] = json!(0);
    new["services"]["pool"]["coldStart"] = json!("2.5s");
    new["limits"]["headerTimeout"] = json!("20s");

    let run = check(&new, None, &[]);

    assert_eq!(run.code, 2);
    assert_snapshot!(run.screen());
}

#[test]
fn a_change_is_compared_with_the_items_in_force() {
    let mut current = items();
    current["routes"]["gone"] = route("/gone/", "00000007");
    current["routes"]["held"] = route("/held/", "00000009");
    current["routes"]["same"] = route("/same/", "00000007");
    let mut changed = route("/r/", "00000008");
    changed["timeout"] = json!("2.5s");
    let mut refused = route("/same/", "00000007");
    refused["priority"] = json!(2);
    let new = json!({
        "upsert": {"routes": {
            "r": changed, "added": route("/added/", "00000001"),
            "held": route("/held/", "00000008"), "same": refused,
        }},
        "remove": {"routes": [{"name": "gone", "version": "00000008"}]},
    });

    let run = check(&new, Some(&current), &[]);
    let json = check(&new, Some(&current), &["--json"]);

    assert_eq!((run.code, json.code), (1, 1));
    assert_snapshot!(run.screen());
    let json: Value = serde_json::from_str(&json.out).expect("one object");
    assert_eq!(json["findings"][0]["place"], "route `same`");
    assert_eq!(json["differences"][2]["fields"][0]["new"], "2.5s");
}

#[test]
fn wrong_usage_looks_like_warnings() {
    let folder = TempDir::new().expect("a folder");
    let call = json!({"upsert": items()});

    let codes = [
        run_in(folder.path(), &["check"]).code,
        run_in(folder.path(), &["check", "a", "b"]).code,
        run_in(folder.path(), &["check", "a", "--fast"]).code,
        run_in(folder.path(), &["check", "a", "--against"]).code,
        check(&items(), Some(&call), &[]).code,
    ];

    assert_eq!(codes, [64; 5]);
    assert_eq!(run_in(folder.path(), &["check", "none.json"]).code, 1);
    assert_eq!(check(&json!([]), None, &[]).code, 1);
    assert_eq!(check(&json!({}), None, &[]).code, 2);
}
