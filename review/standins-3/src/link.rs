//! Links between hosts, as proxies that hold bytes back.

use crate::fleet::Fleet;
use std::{
    io::{self, ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Pause between two looks at the state of a link.
const LOOK: Duration = Duration::from_millis(2);

/// A link that can be cut. Bytes that are under way are held up and pass once it is joined.
#[derive(Debug, Clone, Default)]
pub struct Wire {
    is_cut: Arc<AtomicBool>,
}

impl Wire {
    /// Passes connections at one address on to another one.
    pub fn start(&self, listen: SocketAddr, to: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(listen)?;
        let wire = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let wire = wire.clone();
                thread::spawn(move || wire.carry(stream, to));
            }
        });
        Ok(())
    }

    /// Cuts or joins the link.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    /// A connection that is opened while the link is cut is made once it is joined, if the opener
    /// still waits.
    fn carry(&self, mut near: TcpStream, to: SocketAddr) {
        let Some(bytes) = self.hold(&mut near) else {
            return;
        };
        let Ok(mut far) = TcpStream::connect(to) else {
            return;
        };
        for stream in [&near, &far] {
            // Without it bytes are only later.
            let _ = stream.set_nodelay(true);
        }
        if far.write_all(&bytes).is_err() {
            return;
        }
        let (Ok(near_read), Ok(far_read)) = (near.try_clone(), far.try_clone()) else {
            return;
        };
        let wire = self.clone();
        thread::spawn(move || wire.pump(far_read, near));
        self.pump(near_read, far);
    }

    /// Holds what is sent on a new connection while the link is cut; `None` if its opener leaves.
    fn hold(&self, near: &mut TcpStream) -> Option<Vec<u8>> {
        let mut held = Vec::new();
        near.set_read_timeout(Some(LOOK)).ok()?;
        while self.is_cut() {
            let mut part = [0; 16 << 10];
            match near.read(&mut part) {
                Ok(0) => return None,
                Ok(length) => held.extend_from_slice(&part[..length]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return None,
            }
        }
        near.set_read_timeout(None).ok()?;
        Some(held)
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut part = [0; 16 << 10];
        loop {
            let read = from.read(&mut part);
            while self.is_cut() {
                thread::sleep(LOOK);
            }
            let ended = match read {
                Ok(0) => true,
                Ok(length) => to.write_all(&part[..length]).is_err(),
                Err(_) => true,
            };
            if ended {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}

/// A slow link: what is sent on it arrives late, and in the order in which it was sent.
#[derive(Debug, Clone)]
pub struct SlowLink {
    opened: Arc<Mutex<Option<Instant>>>,
    first_delay: Arc<Mutex<Option<Duration>>>,
    delay: Duration,
}

impl SlowLink {
    /// Link on which nothing arrives before it is opened, and each byte at least `delay` late.
    pub fn new(delay: Duration) -> Self {
        SlowLink {
            opened: Arc::default(),
            first_delay: Arc::default(),
            delay,
        }
    }

    /// Has the bytes arrive that were held up for longer than the delay.
    pub fn open(&self) {
        if let Ok(mut opened) = self.opened.lock() {
            opened.get_or_insert_with(Instant::now);
        }
    }

    /// By how much the first bytes were late.
    pub fn first_delay(&self) -> Option<Duration> {
        self.first_delay.lock().ok().and_then(|delay| *delay)
    }

    /// Passes connections at one address on to another one.
    pub fn start(&self, listen: SocketAddr, to: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(listen)?;
        let link = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = link.clone();
                thread::spawn(move || link.carry(stream, to));
            }
        });
        Ok(())
    }

    fn carry(&self, mut near: TcpStream, to: SocketAddr) {
        let begun = Instant::now();
        let mut part = [0; 16 << 10];
        let mut bytes = Vec::new();
        // A status report is sent in one go.
        if let Ok(length) = near.read(&mut part) {
            bytes.extend_from_slice(&part[..length]);
        }
        loop {
            let opened = self.opened.lock().ok().and_then(|opened| *opened);
            if opened.is_some() && begun.elapsed() >= self.delay {
                break;
            }
            thread::sleep(LOOK);
        }
        if let Ok(mut first) = self.first_delay.lock() {
            first.get_or_insert(begun.elapsed());
        }
        let Ok(mut far) = TcpStream::connect(to) else {
            return;
        };
        if far.write_all(&bytes).is_err() {
            return;
        }
        // The answer comes too late for whoever waited for it.
        let _ = far.set_read_timeout(Some(Duration::from_secs(1)));
        if let Ok(length) = far.read(&mut part) {
            let _ = near.write_all(&part[..length]);
        }
    }
}

/// Links between all hosts of a fleet, of which those between core hosts can be cut.
#[derive(Debug)]
pub struct Links {
    cores: usize,
    /// Links between two core hosts, by the places of both.
    wires: Vec<Wire>,
}

impl Links {
    /// Puts links between the hosts of a fleet whose hosts have ports of their own.
    pub fn start(fleet: &Fleet) -> io::Result<Links> {
        let cores = fleet.cores();
        let links = Links {
            cores,
            wires: (0..cores * cores).map(|_| Wire::default()).collect(),
        };
        let free = Wire::default();
        for (place, host) in fleet.hosts[..cores].iter().enumerate() {
            for (other, dialer) in fleet.hosts.iter().enumerate() {
                if place == other {
                    continue;
                }
                let wire = match other < cores {
                    true => links.between(place, other),
                    false => &free,
                };
                let listen = (host.ip, dialer.port).into();
                wire.start(listen, (host.ip, host.port).into())?;
            }
        }
        Ok(links)
    }

    fn between(&self, one: usize, other: usize) -> &Wire {
        &self.wires[one.min(other) * self.cores + one.max(other)]
    }

    /// Cuts a core host off from the other ones, or joins it to them again.
    pub fn set_cut_off(&self, place: usize, is_cut: bool) {
        let others = (0..self.cores).filter(|other| *other != place);
        others.for_each(|other| self.between(place, other).set_cut(is_cut));
    }
}
