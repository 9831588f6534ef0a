//! Clients send the body of a safe request with a length or in chunks; nothing else happens.

use crate::{
    Verdict,
    http::Wire,
    record::Record,
    stage::{Plan, Stage},
    worker,
};
use std::{io::Write, net::TcpStream, path::PathBuf, time::Duration};

/// The body of each request.
const BODY: &str = "family=7&year=2026";
/// Requests.
const REQUESTS: u32 = 20;

/// Bytes of one request.
fn text(id: &str, in_chunks: bool) -> String {
    let length = BODY.len();
    let (field, body) = match in_chunks {
        true => (
            "Transfer-Encoding: chunked".to_owned(),
            format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n"),
        ),
        false => (format!("Content-Length: {length}"), BODY.to_owned()),
    };
    format!(
        "GET /one/search HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: 1000\r\nShard-Key: 7\r\n{field}\r\n\r\n{body}"
    )
}

/// Plays the case.
pub fn run(program: PathBuf, trouble: bool, record: &Record) -> Verdict {
    let plan = Plan {
        core: 3,
        entries: 2,
        workers: 4,
        framing: worker::plain,
    };
    let Some(stage) = Stage::start(program, plan, record) else {
        return Verdict::Unplayed;
    };
    let (mut served, mut changed) = (0, 0);
    for n in 0..REQUESTS {
        let front = stage.fronts[n as usize % stage.fronts.len()];
        let Ok(stream) = TcpStream::connect(front) else {
            return Verdict::Unplayed;
        };
        // Without it the case would only last longer.
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1_100)));
        let mut wire = Wire::new(stream);
        let id = format!("c{n:08x}");
        record.note(format_args!(
            "client {id} sends a body of {} bytes",
            BODY.len()
        ));
        let sent = wire.stream.write_all(text(&id, trouble).as_bytes());
        let Ok(Some(answer)) = sent.and_then(|()| wire.read()) else {
            continue;
        };
        let said = String::from_utf8_lossy(&answer.body).into_owned();
        record.note(format_args!("client {id} gets {}: {said}", answer.status()));
        if answer.status() == 200 {
            served += 1;
            changed += u32::from(!said.ends_with(&format!(" ran {} bytes", BODY.len())));
        }
    }
    record.say(format_args!(
        "served: {served}; run with another body: {changed}"
    ));
    match (served, changed) {
        (0, _) => Verdict::Unplayed,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
