//! The users' sizes and the mix of their requests.

use crate::caller::Call;
use bytes::Bytes;
use cornelrail_lib::name::{Service, Zone};
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Delays of a region.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Zones {
    /// Round trip between two zones.
    pub apart: Duration,
    /// Round trip between a caller and an entry.
    pub caller: Duration,
}

/// Targets of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Name of the service.
    pub service: Service,
    /// Whether its keys have owners.
    pub keyed: bool,
    /// Number of targets.
    pub targets: u32,
    /// Slots of each.
    pub slots: u32,
    /// Median time of a request.
    pub median: Duration,
    /// Deviation of the natural logarithm of that time.
    pub sigma: f64,
}

impl Fleet {
    /// Requests a second that the targets can serve together when warm.
    pub fn capacity(&self) -> f64 {
        let mean = self.median.as_secs_f64() * (self.sigma * self.sigma / 2.0).exp();
        f64::from(self.targets * self.slots) / mean
    }
}

/// Sizes and requests of one user.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// Name of the user.
    pub name: &'static str,
    /// Availability zones.
    pub zones: Vec<Zone>,
    /// Delays between them.
    pub delays: Zones,
    /// The keyed service.
    pub keyed: Fleet,
    /// The pool.
    pub pool: Fleet,
    /// Keys in use.
    pub keys: u64,
    view: &'static str,
    once: &'static str,
    upload: &'static str,
}

/// Kindloon: a payroll gateway over three zones.
pub fn kindloon() -> Workload {
    Workload {
        name: "kindloon",
        zones: ["ams-a", "ams-b", "ams-c"].map(Zone::from).to_vec(),
        delays: Zones {
            apart: Duration::from_micros(1_500),
            caller: Duration::from_millis(8),
        },
        keyed: Fleet {
            service: "payroll-core".into(),
            keyed: true,
            targets: 20,
            slots: 4,
            median: Duration::from_millis(20),
            sigma: 0.4,
        },
        pool: Fleet {
            service: "doc-intake".into(),
            keyed: false,
            targets: 6,
            slots: 4,
            median: Duration::from_millis(60),
            sigma: 0.4,
        },
        keys: 20_000,
        view: "balance",
        once: "pay",
        upload: "contract",
    }
}

/// Nilebay: seven trade-in shops behind one gateway, over four zones.
pub fn nilebay() -> Workload {
    Workload {
        name: "nilebay",
        zones: ["cai-a", "cai-b", "cai-c", "cai-d"]
            .map(Zone::from)
            .to_vec(),
        delays: Zones {
            apart: Duration::from_micros(500),
            caller: Duration::from_millis(1),
        },
        keyed: Fleet {
            service: "valuation".into(),
            keyed: true,
            targets: 30,
            slots: 2,
            median: Duration::from_millis(10),
            sigma: 0.4,
        },
        pool: Fleet {
            service: "media-intake".into(),
            keyed: false,
            targets: 8,
            slots: 2,
            median: Duration::from_millis(40),
            sigma: 0.4,
        },
        keys: 50_000,
        view: "price",
        once: "payout",
        upload: "photo",
    }
}

const ONCE_SHARE: f64 = 0.1;
const HOT_EXPONENT: f64 = 0.6;
const VIEW_BYTES: usize = 800;
const UPLOAD_BYTES: usize = 32 * 1024;

/// Seeded source of a workload's requests.
#[derive(Debug)]
pub struct Requests<'a> {
    workload: &'a Workload,
    rng: ChaCha8Rng,
    run: u64,
    number: u64,
    pool_share: f64,
}

impl Workload {
    /// Requests a second that both services can serve together in the mix of [`Requests`].
    pub fn capacity(&self) -> f64 {
        self.keyed.capacity() + self.pool.capacity()
    }

    /// Method and path prefix, at a target, of the requests that run at most once.
    pub fn once_route(&self) -> String {
        format!("POST /{}", self.once)
    }

    /// Method and path prefix, at a target, of the views.
    pub fn view_route(&self) -> String {
        format!("GET /{}", self.view)
    }

    /// Requests of this workload; `run` keeps nonces and identities of several sources apart.
    pub fn requests(&self, seed: u64, run: u64) -> Requests<'_> {
        Requests {
            workload: self,
            rng: ChaCha8Rng::seed_from_u64(seed ^ run.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            run,
            number: 0,
            pool_share: self.pool.capacity() / self.capacity(),
        }
    }

    /// A look-up for one key.
    pub fn view(&self, key: String, nonce: u64) -> Call {
        let path = format!("/{}/{}", self.keyed.service, self.view);
        Call {
            method: Method::GET,
            path,
            key,
            identity: None,
            nonce,
            upload: Bytes::new(),
            length: VIEW_BYTES,
        }
    }
}

impl Iterator for Requests<'_> {
    type Item = Call;

    fn next(&mut self) -> Option<Call> {
        self.number += 1;
        let workload = self.workload;
        let nonce = (self.run << 40) | self.number;
        let mut call = workload.view(self.key(), nonce);
        let dice: f64 = self.rng.random();
        if dice < ONCE_SHARE {
            call.method = Method::POST;
            call.path = format!("/{}/{}", workload.keyed.service, workload.once);
            call.identity = Some(format!("{}-{}", self.run, self.number));
        } else if dice < ONCE_SHARE + self.pool_share {
            call.method = Method::POST;
            call.path = format!("/{}/{}", workload.pool.service, workload.upload);
            call.upload = Bytes::from(vec![nonce as u8; UPLOAD_BYTES]);
        }
        Some(call)
    }
}

impl Requests<'_> {
    /// A key, the first ones far more often than the last.
    fn key(&mut self) -> String {
        let uniform: f64 = self.rng.random();
        let rank = uniform.powf(1.0 / (1.0 - HOT_EXPONENT)) * self.workload.keys as f64;
        format!("{}-{}", self.workload.name, rank as u64)
    }
}
