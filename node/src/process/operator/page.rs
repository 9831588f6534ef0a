//! The operators' page, for a screen of 360 pixels.
//!
//! One note at a time: the operator pastes it, reads what it does, and approves or refuses it. The
//! page needs no script. The approve form carries a seal over the operator and the note, so another
//! site cannot send it and a note cannot be swapped after it was read.

use super::{
    api::{call_status, error, note_status},
    gate::{Session, session},
};
use cornelrail_lib::{
    process::operator_api::{
        CheckAnswer, EntryStatus, MAX_NOTE_BODY_BYTES, NoteAnswer, StatusAnswer, TargetStatus,
    },
    version::fleet::{TargetPhase, ZoneState},
};
use salvo::{Depot, Request, Response, handler, http::StatusCode, writing::Text};
use std::fmt::Write;

/// Path to which the page posts a note that is to be read.
pub(super) const CHECK_PATH: &str = "/page/check";
/// Path to which the page posts an approved note.
pub(super) const APPROVE_PATH: &str = "/page/approve";
/// Longest form: a note grows when its characters are escaped.
const FORM_BYTES_MAX: usize = 4 * MAX_NOTE_BODY_BYTES;
const STYLE: &str = "body{font:16px/1.4 sans-serif;margin:0 auto;padding:8px;max-width:640px}\
    h1{font-size:20px}h2{font-size:17px}pre,textarea{font:13px/1.4 monospace;width:100%;\
    box-sizing:border-box;background:#f4f4f4;padding:6px;white-space:pre-wrap;\
    overflow-wrap:anywhere}table{border-collapse:collapse;width:100%}td,th{text-align:left;\
    padding:3px 6px 3px 0;border-bottom:1px solid #ddd;overflow-wrap:anywhere}\
    button,a.button{display:block;width:100%;box-sizing:border-box;padding:14px;margin:8px 0;\
    font-size:17px;text-align:center;border:1px solid #333;border-radius:6px;color:#000;\
    background:#eee;text-decoration:none}button.go{background:#185c2b;color:#fff}\
    .bad{color:#a00000;font-weight:bold}.good{color:#185c2b;font-weight:bold}";

#[handler]
pub(super) async fn get_home(depot: &mut Depot, response: &mut Response) {
    let Some(session) = session(depot) else {
        return;
    };
    let status = session.shared.handle.status().await;
    let mut body = String::new();
    match status {
        Ok(status) => write_status(&mut body, &status),
        Err(fault) => {
            response.status_code(call_status(fault));
            write_paragraph(&mut body, "bad", &fault.to_string());
        }
    }
    write_note_form(&mut body, "");
    render(response, "Fleet", &body);
}

#[handler]
pub(super) async fn post_check(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Some(session) = session(depot) else {
        return;
    };
    let Some(text) = form_note(request, response).await else {
        return;
    };
    let mut body = String::new();
    match session.shared.handle.check(&text).await {
        Ok(CheckAnswer::Fine {
            version, effect, ..
        }) => {
            write_note(&mut body, &text);
            write_effect(&mut body, version.0, &effect);
            write_decision(&mut body, session, &text);
        }
        Ok(CheckAnswer::Refused { reason }) => {
            response.status_code(StatusCode::UNPROCESSABLE_ENTITY);
            write_paragraph(&mut body, "bad", &reason);
            write_note_form(&mut body, &text);
        }
        Err(fault) => {
            response.status_code(call_status(fault));
            write_paragraph(&mut body, "bad", &fault.to_string());
            write_note_form(&mut body, &text);
        }
    }
    render(response, "Release note", &body);
}

#[handler]
pub(super) async fn post_approve(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    let Some(session) = session(depot) else {
        return;
    };
    let Some(text) = form_note(request, response).await else {
        return;
    };
    let seal = request.form::<String>("seal").await.unwrap_or_default();
    let name = &session.identity.name;
    if !session.identity.approve {
        let text = "you may look but not approve; ask an operator with `approve: true`";
        return error(response, StatusCode::FORBIDDEN, text);
    }
    if !session.shared.gate.is_sealed(name, &text, &seal) {
        let text = "this form is not from this entry's page, or is old; open / and read it again";
        return error(response, StatusCode::FORBIDDEN, text);
    }
    let outcome = session.shared.handle.apply(name, &text).await;
    response.status_code(note_status(&outcome));
    let mut body = String::new();
    write_outcome(&mut body, &outcome);
    write_note(&mut body, &text);
    body.push_str("<a class=button href=\"/\">Fleet</a>");
    render(response, "Release note", &body);
}

/// Reads the note of a form. Browsers end lines with two characters; a note has one.
async fn form_note(request: &mut Request, response: &mut Response) -> Option<String> {
    if request.form_data_max_size(FORM_BYTES_MAX).await.is_err() {
        let text = "the form cannot be read; a note has 16KiB at most";
        error(response, StatusCode::BAD_REQUEST, text);
        return None;
    }
    let text = request.form::<String>("note").await.unwrap_or_default();
    let text = text.replace("\r\n", "\n");
    if text.len() > MAX_NOTE_BODY_BYTES {
        let text = "the note is longer than 16KiB; split it into several notes";
        error(response, StatusCode::PAYLOAD_TOO_LARGE, text);
        return None;
    }
    Some(text)
}

fn render(response: &mut Response, title: &str, body: &str) {
    let page = format!(
        "<!doctype html><html lang=en><meta charset=utf-8>\
         <meta name=viewport content=\"width=device-width,initial-scale=1\">\
         <title>{title}</title><style>{STYLE}</style><h1>{title}</h1>{body}</html>"
    );
    response.render(Text::Html(page));
}

/// Escapes text for HTML, also within quoted attributes.
fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            '\'' => out.push_str("&#39;"),
            _ => out.push(c),
        }
    }
    out
}

fn write_paragraph(body: &mut String, class: &str, text: &str) {
    let _ = write!(body, "<p class={class}>{}</p>", escape(text));
}

fn write_row(body: &mut String, cells: &[&str]) {
    body.push_str("<tr>");
    for cell in cells {
        let _ = write!(body, "<td>{}</td>", escape(cell));
    }
    body.push_str("</tr>");
}

fn write_status(body: &mut String, status: &StatusAnswer) {
    let leader = match status.leader {
        Some(leader) => format!("leader is entry {leader}"),
        None => "no leader".to_owned(),
    };
    let summary = format!("{}: version {}, {leader}.", status.fleet, status.version);
    write_paragraph(
        body,
        if status.leader.is_some() {
            "good"
        } else {
            "bad"
        },
        &summary,
    );
    if !status.fresh {
        let text = "This entry cannot confirm that it is current. Ask another entry.";
        write_paragraph(body, "bad", text);
    }
    body.push_str("<h2>Zones</h2><table>");
    for zone in &status.zones {
        let state = match zone.state {
            ZoneState::In => "in",
            ZoneState::Out => "out",
        };
        let load = format!("{} entries, {} targets", zone.entries, zone.targets);
        write_row(body, &[&zone.zone.0, state, &load]);
    }
    body.push_str("</table><h2>Services</h2><table>");
    for service in &status.services {
        let load = format!("{} targets", service.targets);
        let moving = format!("{} moving, {} unowned", service.moving, service.unowned);
        write_row(body, &[&service.service.0, &load, &moving]);
    }
    body.push_str("</table>");
    write_entries(body, &status.entries);
    write_targets(body, &status.targets);
}

/// Writes how many entries are up, and a row for each that is not well.
fn write_entries(body: &mut String, entries: &[EntryStatus]) {
    let up = entries.iter().filter(|entry| entry.alive).count();
    let _ = write!(body, "<h2>{up} of {} entries up</h2><table>", entries.len());
    for entry in entries {
        let state = match (entry.alive, entry.lag) {
            (false, _) => "lost".to_owned(),
            (true, Some(lag)) if lag > 0 => format!("{lag} behind"),
            (true, _) => continue,
        };
        write_row(body, &[&entry.entry.to_string(), &entry.zone.0, &state]);
    }
    body.push_str("</table>");
}

/// Writes how many targets serve, and a row for each that does not.
fn write_targets(body: &mut String, targets: &[TargetStatus]) {
    let is_serving = |target: &&TargetStatus| target.phase == TargetPhase::Serving;
    let serving = targets.iter().filter(is_serving).count();
    let _ = write!(
        body,
        "<h2>{serving} of {} targets serve</h2><table>",
        targets.len()
    );
    for target in targets {
        let state = match target.phase {
            TargetPhase::Serving => continue,
            TargetPhase::Draining => "draining",
            TargetPhase::Lost => "lost",
        };
        write_row(body, &[&target.target.0, &target.zone.0, state]);
    }
    body.push_str("</table>");
}

fn write_note_form(body: &mut String, text: &str) {
    let _ = write!(
        body,
        "<h2>Release note</h2><form method=post action=\"{CHECK_PATH}\">\
         <textarea name=note rows=10 aria-label=\"Release note\">\n{}</textarea>\
         <button>Read what it does</button></form>",
        escape(text),
    );
}

fn write_note(body: &mut String, text: &str) {
    let _ = write!(body, "<pre>{}</pre>", escape(text));
}

fn write_effect(body: &mut String, version: u64, effect: &[String]) {
    let _ = write!(body, "<h2>What version {version} does</h2><ul>");
    for line in effect {
        let _ = write!(body, "<li>{}</li>", escape(line));
    }
    body.push_str("</ul>");
}

fn write_decision(body: &mut String, session: &Session, text: &str) {
    if !session.identity.approve {
        write_paragraph(body, "bad", "You may look but not approve.");
    } else {
        let seal = session.shared.gate.seal(&session.identity.name, text);
        let _ = write!(
            body,
            "<form method=post action=\"{APPROVE_PATH}\">\
             <input type=hidden name=note value=\"{}\">\
             <input type=hidden name=seal value={seal}>\
             <button class=go>Approve</button></form>",
            escape(text),
        );
    }
    body.push_str("<a class=button href=\"/\">Refuse</a>");
}

fn write_outcome(body: &mut String, outcome: &NoteAnswer) {
    match outcome {
        NoteAnswer::Accepted { version, .. } => {
            let text = format!("Accepted as version {version}.");
            write_paragraph(body, "good", &text);
        }
        NoteAnswer::Refused { reason } => write_paragraph(body, "bad", reason),
        NoteAnswer::Conflict {
            winner,
            differences,
        } => {
            let text = format!(
                "Nothing changed: {} approved another note as version {} first. They differ in:",
                winner.author, winner.version
            );
            write_paragraph(body, "bad", &text);
            write_note(body, &differences.join("\n"));
        }
        NoteAnswer::Unknown { reason } => write_paragraph(body, "bad", reason),
    }
}
