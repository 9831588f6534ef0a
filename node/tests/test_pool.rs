//! Connections that an entry keeps to targets.

use cornelrail_lib::version::catalog::TargetId;
use cornelrail_node::{
    connection::pool::{AnswerBody, Pool, PoolPlace, SendError},
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
        .take(id, address, "1", LEFT)
        .await
        .expect("a connection");
    let request = Request::new(RequestBody::Whole(None));
    let mut exchange = connection.send(request);
    let response = exchange.head().await.expect("an answer");
    let place = PoolPlace {
        pool: pool.clone(),
        id,
        room: 4,
        keep: None,
    };
    let body = AnswerBody::new(response.into_body(), exchange.into_connection(), place);
    body.collect().await.expect("the whole answer");
}

#[tokio::test]
async fn a_connection_is_used_again() {
    let (pool, address) = (Pool::default(), target().await);

    for _ in 0..3 {
        ask(&pool, TargetId(1), address).await;
    }

    assert_eq!(pool.idle(), 1);
}

#[tokio::test]
async fn connections_to_many_targets_stay_few() {
    let (pool, address) = (Pool::default(), target().await);

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
    let pool = Pool::default();
    let taken = pool.take(TargetId(1), address, "1", LEFT).await;
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

    let taken = Pool::default().take(TargetId(1), address, "1", LEFT).await;

    assert_eq!(taken.err(), Some(SendError::TurnedAway));
}
