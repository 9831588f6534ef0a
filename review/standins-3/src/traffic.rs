//! Callers: each sends safe requests to one entry at a steady rate, on new connections.

use crate::{http, record::Record};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Pause between two requests to one entry.
const PAUSE: Duration = Duration::from_millis(40);
/// Time for which a caller waits.
const DEADLINE: Duration = Duration::from_millis(800);
/// Step between the keys of two requests.
const KEY_STEP: u64 = 8_191;

/// Callers of all entries.
#[derive(Debug)]
pub struct Traffic {
    stops: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts callers of these entries, whose requests are numbered from `first` on; they have keys if
    /// the service is keyed.
    pub fn start(
        record: &Arc<Record>,
        entries: &[SocketAddr],
        first: u64,
        is_keyed: bool,
    ) -> Traffic {
        let stops = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicU64::new(0));
        let numbers = Arc::new(AtomicU64::new(first));
        let threads = entries.iter().map(|entry| {
            let (record, stops) = (record.clone(), stops.clone());
            let (served, numbers, entry) = (served.clone(), numbers.clone(), *entry);
            thread::spawn(move || {
                while !stops.load(Ordering::SeqCst) {
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    let key = is_keyed.then_some(number.wrapping_mul(KEY_STEP) as u16);
                    if send(&record, entry, number, key) {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    thread::sleep(PAUSE);
                }
            })
        });
        Traffic {
            threads: threads.collect(),
            stops,
            served,
        }
    }

    /// Number of requests that were served.
    pub fn served(&self) -> u64 {
        self.served.load(Ordering::SeqCst)
    }

    /// Ends the callers.
    pub fn stop(self) {
        self.stops.store(true, Ordering::SeqCst);
        for thread in self.threads {
            // A caller that failed has written what it saw.
            let _ = thread.join();
        }
    }
}

fn send(record: &Record, entry: SocketAddr, number: u64, key: Option<u16>) -> bool {
    let id = format!("{number:016x}");
    let mut fields = vec![
        ("Host", "case.example".to_owned()),
        ("Request-Id", id.clone()),
        ("Deadline-Ms", DEADLINE.as_millis().to_string()),
    ];
    fields.extend(key.map(|key| ("Shard-Key", key.to_string())));
    record.note(&format!("caller: sends {id} to {entry}"));
    let line = format!("GET /a/{number}");
    let answer = http::call(entry, &line, &fields, "", DEADLINE);
    let status = answer.map_or(0, |answer| answer.status());
    record.note(&format!("caller: {id} answered {status}"));
    status == 200
}
