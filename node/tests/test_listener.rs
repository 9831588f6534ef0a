//! Callers that connect while a listener is closed: whoever is connected is accepted.

use cornelrail_node::connection::listener;
use std::{
    io::Read,
    net::{self, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Closes that are tried, each with a listener of its own.
const ROUNDS: usize = 100;
/// Callers that connect one time after the other.
const CALLERS: usize = 8;
/// Time for which connections are accepted before the listener is closed.
const OPEN_TIME: Duration = Duration::from_millis(5);
/// Address of the listener. A caller that got it by chance could connect to itself.
const ADDRESS: &str = "127.0.0.77:0";
/// Time after which a caller that is ignored gives up.
const CONNECT_TIME: Duration = Duration::from_millis(30);
/// Time after which a connection counts as cut: one of which the system knows nothing stays silent.
const READ_TIME: Duration = Duration::from_secs(2);
/// Byte that an accepted connection gets.
const WELCOME: u8 = 1;

/// Connects until the listener refuses; gives how many connections ended without a welcome.
fn connect_until_closed(address: SocketAddr, has_ended: &AtomicBool) -> usize {
    let mut cut = 0;
    while !has_ended.load(Ordering::Relaxed) {
        let connected = net::TcpStream::connect_timeout(&address, CONNECT_TIME);
        let Ok(mut stream) = connected else {
            continue;
        };
        stream.set_read_timeout(Some(READ_TIME)).expect("set");
        let mut welcome = [0];
        if stream.read_exact(&mut welcome).is_err() {
            cut += 1;
        }
    }
    cut
}

async fn welcome(mut stream: TcpStream) {
    stream.write_all(&[WELCOME]).await.expect("written");
}

/// Accepts for a while and closes the listener; gives how many connections were cut.
async fn close_under_load() -> usize {
    let listener = TcpListener::bind(ADDRESS).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let has_ended = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let has_ended = has_ended.clone();
            thread::spawn(move || connect_until_closed(address, &has_ended))
        })
        .collect();

    let accepting = async {
        loop {
            let (stream, _) = listener.accept().await.expect("accepted");
            tokio::spawn(welcome(stream));
        }
    };
    let _: Result<(), _> = timeout(OPEN_TIME, accepting).await;
    listener::close(listener, |stream| drop(tokio::spawn(welcome(stream)))).await;
    sleep(OPEN_TIME).await;
    has_ended.store(true, Ordering::Relaxed);
    let cut = callers
        .into_iter()
        .map(|caller| caller.join().expect("it ends"));
    cut.sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listener_that_closes_resets_no_connection() {
    let mut cut = 0;

    for _ in 0..ROUNDS {
        cut += close_under_load().await;
    }

    assert_eq!(cut, 0, "connections reset in {ROUNDS} closes");
}
