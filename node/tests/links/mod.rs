//! Links between hosts and to targets, which can be cut in several ways.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Connections that the system takes without an accept, and with them all that a silent link takes.
const BACKLOG: u32 = 1;
/// Connections that fill the backlog.
const FILLERS: usize = 3;
/// Time in which the system takes a connection.
const FILL_TIME: Duration = Duration::from_millis(50);

/// How a link is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// It is not.
    Whole,
    /// Connections hang, new ones too.
    Silent,
    /// Connections are reset, and new ones refused.
    Reset,
    /// Connections live on, and new ones are refused.
    Refused,
}

/// A relay from an address of its own to a target.
pub struct Link {
    pub address: SocketAddr,
    opened: Arc<AtomicUsize>,
    _task: JoinSet<()>,
}

impl Link {
    /// Starts a link that is cut as `cut` says.
    pub fn start(address: SocketAddr, target: SocketAddr, cut: watch::Receiver<Cut>) -> Link {
        let mut task = JoinSet::new();
        let opened = Arc::<AtomicUsize>::default();
        task.spawn(run(address, target, cut, opened.clone()));
        Link {
            address,
            opened,
            _task: task,
        }
    }

    /// Connections that it has carried.
    pub fn opened(&self) -> usize {
        self.opened.load(Ordering::Relaxed)
    }
}

fn listen(address: SocketAddr, backlog: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("set");
    socket.bind(address).expect("an address of this test");
    socket.listen(backlog).expect("listening")
}

async fn run(
    address: SocketAddr,
    target: SocketAddr,
    mut cut: watch::Receiver<Cut>,
    opened: Arc<AtomicUsize>,
) {
    let mut pipes = JoinSet::new();
    loop {
        let now = *cut.borrow_and_update();
        match now {
            Cut::Whole => {
                let listener = listen(address, 1_024);
                loop {
                    tokio::select! {
                        accepted = listener.accept() => {
                            let (stream, _) = accepted.expect("accepted");
                            opened.fetch_add(1, Ordering::Relaxed);
                            pipes.spawn(pipe(stream, target, cut.clone()));
                        }
                        _ = cut.changed() => break,
                    }
                }
            }
            Cut::Silent => {
                let _listener = listen(address, BACKLOG);
                let mut fillers = Vec::new();
                for _ in 0..FILLERS {
                    fillers.push(timeout(FILL_TIME, TcpStream::connect(address)).await);
                }
                if cut.changed().await.is_err() {
                    return;
                }
            }
            Cut::Reset | Cut::Refused => {
                if cut.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Passes bytes both ways until the link is cut.
async fn pipe(mut near: TcpStream, target: SocketAddr, mut cut: watch::Receiver<Cut>) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let ends = |cut: &Cut| matches!(cut, Cut::Silent | Cut::Reset);
    let how = tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        how = cut.wait_for(ends) => how.map_or(Cut::Reset, |how| *how),
    };
    if how == Cut::Silent {
        // What hangs is never heard of again, also after the end of the cut.
        sleep(Duration::from_secs(3_600)).await;
    }
    near.set_zero_linger().expect("set");
}

/// Bytes that a link passes on in one go.
const PART: usize = 16 << 10;

/// A link that holds bytes up while it is cut. They arrive once it is joined, in their order.
#[derive(Default)]
pub struct HoldingLink {
    is_cut: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl HoldingLink {
    /// Passes connections at one address on to another one.
    pub fn carry(&mut self, address: SocketAddr, to: SocketAddr) {
        let is_cut = self.is_cut.subscribe();
        self.tasks.spawn(async move {
            let listener = listen(address, 1_024);
            let mut pipes = JoinSet::new();
            loop {
                let (near, _) = listener.accept().await.expect("accepted");
                pipes.spawn(hold(near, to, is_cut.clone()));
            }
        });
    }

    /// Cuts or joins the link.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

/// Passes a connection on. One that is opened while the link is cut is made once it is joined, if its
/// opener still waits.
async fn hold(mut near: TcpStream, to: SocketAddr, mut is_cut: watch::Receiver<bool>) {
    let mut held = Vec::new();
    while *is_cut.borrow_and_update() {
        tokio::select! {
            _ = is_cut.changed() => {}
            read = near.read_buf(&mut held) => match read {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            },
        }
    }
    let Ok(mut far) = TcpStream::connect(to).await else {
        return;
    };
    if far.write_all(&held).await.is_err() {
        return;
    }
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    tokio::join!(
        pump(near_read, far_write, is_cut.clone()),
        pump(far_read, near_write, is_cut.clone()),
    );
}

async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut is_cut: watch::Receiver<bool>,
) {
    let mut part = vec![0; PART];
    loop {
        let read = from.read(&mut part).await.unwrap_or(0);
        if is_cut.wait_for(|is_cut| !is_cut).await.is_err() {
            return;
        }
        if read == 0 || to.write_all(&part[..read]).await.is_err() {
            // The other end may have left before.
            let _ = to.shutdown().await;
            return;
        }
    }
}
