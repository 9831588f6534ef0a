//! Connections that an entry keeps to targets.

use cornelrail_lib::version::catalog::TargetId;
use cornelrail_node::{
    connection::pool::{AnswerBody, Pool, PoolPlace, SendError, Wish},
    request::proxy_body::RequestBody,
};
use http::Request;
use http_body::Body;
use http_body_util::BodyExt;
use std::{future::poll_fn, net::SocketAddr, pin::Pin, task::Poll, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const LEFT: Duration = Duration::from_secs(5);

fn wish(is_idempotent: bool) -> Wish<'static> {
    Wish {
        request: "1",
        is_idempotent,
        left: LEFT,
    }
}

/// Answers every request, whoever asks.
async fn target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream));
        }
    });
    address
}

async fn answer(mut stream: TcpStream) {
    let mut buffer = [0; 1_024];
    // Each request comes in one piece.
    while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        if stream.write_all(ANSWER).await.is_err() {
            return;
        }
    }
}

async fn ask(pool: &Pool, id: TargetId, address: SocketAddr) {
    let connection = pool
        .take(id, address, wish(true))
        .await
        .expect("a connection");
    let request = Request::new(RequestBody::Whole(None));
    let mut exchange = connection.send(request);
    let response = exchange.head().await.expect("an answer");
    let place = PoolPlace {
        pool: pool.clone(),
        id,
        room: 4,
        keep: Some(Duration::from_secs(1)),
    };
    let body = AnswerBody::new(response.into_body(), exchange.into_connection(), place);
    body.collect().await.expect("the whole answer");
}

#[tokio::test]
async fn a_connection_is_used_again() {
    let (pool, address) = (Pool::new(96, None), target().await);

    for _ in 0..3 {
        ask(&pool, TargetId(1), address).await;
    }

    assert_eq!(pool.idle(), 1);
}

#[tokio::test]
async fn connections_to_many_targets_stay_few() {
    let (pool, address) = (Pool::new(96, None), target().await);

    for id in 0..300 {
        ask(&pool, TargetId(id), address).await;
    }

    // At 16 KiB each, 2 MiB of the 12 that an entry may take.
    assert!(pool.idle() <= 128, "{} idle", pool.idle());
    assert!(pool.idle() > 0);
}

/// Sends the start of an answer, and its body without end.
async fn flood(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut buffer = [0; 1_024];
    let _ = stream.read(&mut buffer).await;
    let head = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    let mut written = stream.write_all(head).await;
    while written.is_ok() {
        written = stream.write_all(&[b'x'; 64 << 10]).await;
    }
}

/// Timers and other callers wait for as long as one task reads on.
#[tokio::test]
async fn a_body_without_end_is_read_until_the_system_has_no_more_in_one_turn() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(flood(listener));
    let pool = Pool::new(96, None);
    let taken = pool.take(TargetId(1), address, wish(true)).await;
    let connection = taken.expect("a connection");
    let request = Request::new(RequestBody::Whole(None));
    let mut exchange = connection.send(request);
    let response = exchange.head().await.expect("a head");
    let place = PoolPlace {
        pool,
        id: TargetId(1),
        room: 1,
        keep: None,
    };
    let mut body = AnswerBody::new(response.into_body(), exchange.into_connection(), place);
    tokio::time::sleep(Duration::from_millis(200)).await;

    let mut largest = 0;
    for _ in 0..20 {
        let turn = poll_fn(|cx| {
            let mut bytes = 0;
            while let Poll::Ready(frame) = Pin::new(&mut body).poll_frame(cx) {
                let data = frame.expect("endless").expect("whole").into_data();
                bytes += data.map_or(0, |data| data.len());
            }
            Poll::Ready(bytes)
        });
        largest = largest.max(turn.await);
        tokio::task::yield_now().await;
    }

    assert!(
        largest > 0 && largest <= 128 << 10,
        "{largest} bytes in one turn"
    );
}

#[tokio::test]
async fn a_request_is_written_to_a_target_that_resets_what_is_over_its_cap() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // Without lingering the connection is reset.
            stream.set_zero_linger().expect("set");
        }
    });

    let taken = Pool::new(96, None)
        .take(TargetId(1), address, wish(true))
        .await;

    assert_eq!(taken.err(), Some(SendError::TurnedAway));
}

/// A target may drop an idle connection early, and a reset leaves open whether the request has run.
#[tokio::test]
async fn an_idempotent_request_uses_a_connection_that_has_been_idle_for_longer() {
    let (pool, address) = (Pool::new(96, None), target().await);
    ask(&pool, TargetId(1), address).await;
    let fresh = pool.connected(wish(false));

    // The target keeps it for a second.
    tokio::time::sleep(Duration::from_millis(650)).await;
    let (once, idempotent) = (pool.connected(wish(false)), pool.connected(wish(true)));
    tokio::time::sleep(Duration::from_millis(200)).await;
    let late = pool.connected(wish(true));

    assert_eq!(fresh, [TargetId(1)]);
    assert_eq!((once, idempotent), (vec![], vec![TargetId(1)]));
    assert_eq!(late, []);
}

/// Guards against a request that is refused because its idle connection was closed meanwhile.
#[tokio::test]
async fn a_connection_closed_before_its_next_request_gives_the_request_back() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (close, closing) = tokio::sync::oneshot::channel::<()>();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 1_024];
        let _ = stream.read(&mut buffer).await;
        stream.write_all(ANSWER).await.expect("written");
        let _ = closing.await;
    });
    let pool = Pool::new(96, None);
    ask(&pool, TargetId(1), address).await;
    let taken = pool.take(TargetId(1), address, wish(false)).await;
    let connection = taken.expect("the idle connection");
    close.send(()).expect("the target runs");
    tokio::time::sleep(Duration::from_millis(100)).await;

    let control = connection.control();
    let mut exchange = connection.send(Request::new(RequestBody::Whole(None)));
    let error = exchange.head().await.err();

    assert_eq!(error, Some(SendError::NotSent));
    assert!(exchange.take_unsent().is_some());
    assert!(!control.has_written());
}

#[tokio::test]
async fn the_usual_time_to_connect_follows_the_latest_connections() {
    let (pool, address) = (Pool::new(96, None), target().await);
    let assumed = pool.connect_time();

    for id in 0..40 {
        ask(&pool, TargetId(id), address).await;
    }

    assert_eq!(assumed, Duration::from_millis(5));
    assert!(pool.connect_time() < assumed, "{:?}", pool.connect_time());
}
