//! Requests under suspicion at an entry whose leader replies late, or not at all.

use crate::{
    test_replica::catalog,
    test_seeded::{PATIENCE, exchange, host, settings, split},
};
use cornelrail_lib::{
    name::{Incarnation, Service, Target, Zone},
    version::{
        catalog::{Catalog, TargetRecord, Update},
        feed::{FromCore, Handshake, LeaderStatus, ToCore},
        suspects::TrialReply,
    },
};
use cornelrail_node::{
    connection::message::{MessageError, MessageStream, encode, encode_greeting},
    process::{core::node_of, entry},
};
use cornelrail_testutils::{
    ports,
    scripted::{self, Ask, Ending, Record, Reply},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tempfile::TempDir;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, interval, sleep},
};

const SILENCE: Duration = Duration::from_secs(5);
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which callers repeat the request.
const REPEATED: Duration = Duration::from_secs(3);
/// Runs of a request before it is under suspicion.
const UNSUSPECTED_RUNS: usize = 2;
/// Time after which a leader replies too late: callers wait for two seconds at most.
const LATE: Duration = Duration::from_millis(700);

/// What a stand-in for the leader was told.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    trials: usize,
    ended: usize,
}

/// Leads an entry, and grants trials after a while, if at all.
async fn lead(
    stream: TcpStream,
    catalog: Catalog,
    grants_after: Option<Duration>,
    told: watch::Sender<Told>,
) -> Result<(), MessageError> {
    let node = node_of(stream.local_addr().expect("an address").ip());
    let mut stream = MessageStream::new(stream, SILENCE)?;
    stream.receive::<Handshake>().await?;
    let members = FromCore::Members {
        leader: Some(node),
        nodes: vec![node],
    };
    let snapshot = FromCore::snapshot(1, &catalog);
    let greeting = encode_greeting(&members)?;
    stream.send([greeting, encode(&snapshot)?]).await?;
    let mut statuses = interval(STATUS_INTERVAL);
    let mut due: Vec<(Instant, u64)> = Vec::new();
    loop {
        tokio::select! {
            message = stream.receive::<ToCore>() => match message? {
                ToCore::Confirm(at) => {
                    stream.send([encode(&FromCore::Confirmed(at))?]).await?;
                }
                ToCore::Trial(number, ..) => {
                    told.send_modify(|told| told.trials += 1);
                    due.extend(grants_after.map(|after| (Instant::now() + after, number)));
                }
                ToCore::TrialsEnded(ended) => told.send_modify(|told| told.ended += ended.len()),
                _ => {}
            },
            _ = statuses.tick() => {
                let status = FromCore::Status(LeaderStatus::default());
                stream.send([encode(&status)?]).await?;
                let now = Instant::now();
                for (_, number) in due.extract_if(.., |(at, _)| *at <= now) {
                    let granted = FromCore::Trial(number, TrialReply::Granted);
                    stream.send([encode(&granted)?]).await?;
                }
            }
        }
    }
}

/// A target whose connection is reset under `/r/crash`.
fn crash(ask: &Ask) -> Reply {
    match ask.path.as_str() {
        "/r/crash" => Reply::answer(ask, "").cut_at(0).ending(Ending::Reset),
        _ => Reply::answer(ask, "fine"),
    }
}

async fn status(callers: SocketAddr, path: &str) -> u16 {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: one\r\nDeadline-Ms: 2000\r\n\
         Connection: close\r\n\r\n"
    );
    let reply = exchange(callers, request.as_bytes()).await;
    reply
        .ok()
        .and_then(|reply| Some(split(&reply)?.0))
        .unwrap_or_default()
}

/// Repeats the request at an entry of such a leader; gives its runs and what the leader was told.
async fn repeat_crash(grants_after: Option<Duration>) -> (usize, Told) {
    let folder = TempDir::new().expect("a folder");
    let host = host();
    let listener = TcpListener::bind((host.as_str(), 0)).await.expect("bound");
    let record = Arc::<Record>::default();
    let target = TargetRecord {
        name: Target::from("t-1"),
        incarnation: Incarnation(1),
        service: Service::from("pool"),
        address: listener.local_addr().expect("bound"),
        zone: Zone::from("a"),
        slots: 4,
        leaving: false,
    };
    let _serving = scripted::serve(listener, record.clone(), crash);
    let mut catalog = catalog();
    catalog.apply(&Update::Join(target));
    let listener = TcpListener::bind((host.as_str(), 0)).await.expect("bound");
    let port = listener.local_addr().expect("bound").port();
    let told = watch::Sender::new(Told::default());
    let heard = told.subscribe();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(lead(stream, catalog.clone(), grants_after, told.clone()));
        }
    });
    let address = || SocketAddr::new(host.parse().expect("an address"), ports::next_port());
    let (callers, ready) = (address(), address());
    let listen = format!("callers: \"{callers}\", ready: \"{ready}\"");
    let settings = settings("entry", &host, port, &listen, &folder.path().join("none"));
    let _entry = entry::start(settings).await.expect("an entry");
    let begun = Instant::now();
    while status(callers, "/r/up").await != 200 {
        assert!(begun.elapsed() < PATIENCE, "no request is served");
        sleep(Duration::from_millis(50)).await;
    }

    let begun = Instant::now();
    while begun.elapsed() < REPEATED {
        status(callers, "/r/crash").await;
        sleep(Duration::from_millis(20)).await;
    }
    sleep(LATE * 2).await;
    let told = *heard.borrow();
    (record.runs_of_path("/r/crash"), told)
}

#[tokio::test]
async fn a_leader_that_does_not_reply_lets_each_entry_run_a_suspected_request() {
    let (runs, told) = repeat_crash(None).await;

    assert!(told.trials > 0, "no trial was asked for");
    assert!(runs <= UNSUSPECTED_RUNS, "{runs} runs");
}

#[tokio::test]
async fn a_trial_that_is_granted_too_late_is_kept() {
    let (runs, told) = repeat_crash(Some(LATE)).await;

    assert!(told.trials > 0, "no trial was asked for");
    assert!(runs <= UNSUSPECTED_RUNS, "{runs} runs");
    assert!(told.ended >= told.trials, "{told:?}");
}
