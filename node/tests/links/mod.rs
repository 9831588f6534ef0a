//! Links of single entries to targets, which can be cut in several ways.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::copy_bidirectional,
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
