//! Calls to the control address, as the operator and the workers make them.

use crate::http::{self, Message};
use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

/// Time without an answer after which the next host is called.
const CALL_TIME: Duration = Duration::from_secs(1);
/// Time after which a call is given up.
const LONGEST: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(100);

/// Makes a call at one host after the other until one gives a clear answer.
pub fn call(hosts: &[SocketAddr], name: &str, body: &str) -> Result<Message, String> {
    let begun = Instant::now();
    let head = format!(
        "POST /-/rpc?call={name} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    for host in hosts.iter().cycle() {
        match http::ask(*host, CALL_TIME, &head, body.as_bytes()) {
            Ok(answer) if answer.status() < 500 => return Ok(answer),
            _ if begun.elapsed() > LONGEST => break,
            _ => thread::sleep(PAUSE),
        }
    }
    Err(format!("no clear answer to {name}"))
}

/// Sends a change of the desired state, which has to be acknowledged.
pub fn change(hosts: &[SocketAddr], upsert: &str) -> Result<(), String> {
    let body = format!("{{\"upsert\":{upsert},\"remove\":{{\"routes\":[]}}}}");
    let answer = call(hosts, "config.patch", &body)?;
    match answer.status() {
        200 => Ok(()),
        _ => Err(format!("the change was answered {}", answer.line)),
    }
}

/// A route to one service, as JSON.
pub fn route(service: &str, prefix: &str, kind: &str) -> String {
    format!(
        "{{\"host\":\"h.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout\":\"1500ms\",\"targetLatency\":\"300ms\",\"priority\":1,\
         \"service\":\"{service}\",\"maxAttempts\":2,\"version\":\"00000007\"}}"
    )
}

/// A service without keys, as JSON.
pub fn service(cold_start: &str, cold_rate: &str) -> String {
    format!(
        "{{\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"coldStart\":\"{cold_start}\",\"coldPerS\":{cold_rate},\"version\":\"00000007\"}}"
    )
}

/// Limits on requests, as JSON.
pub fn limits(head: u32, version: &str) -> String {
    format!(
        "{{\"maxHeaderBytes\":{head},\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15000ms\",\"version\":\"{version}\"}}"
    )
}
