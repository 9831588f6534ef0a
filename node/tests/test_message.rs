//! Messages between the processes of a seeded fleet, on slow and on silent connections.

use bytes::Bytes;
use cornelrail_node::connection::message::{MessageError, MessageStream, encode};
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const SILENCE: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(100);

/// A stream to a peer, and the other end of its connection.
async fn pair() -> (MessageStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stream = MessageStream::connect(address, SILENCE).await;
    let (peer, _) = listener.accept().await.expect("a connection");
    (stream.expect("a stream"), peer)
}

/// A message as it passes the wire.
fn framed(text: &str) -> Vec<u8> {
    frame(&encode(&text.to_owned()).expect("an encoding"))
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

#[tokio::test]
async fn a_long_message_may_take_longer_than_a_peer_may_be_silent() {
    let (mut stream, mut peer) = pair().await;
    let sender = tokio::spawn(async move {
        for part in framed("a long catalog").chunks(2) {
            peer.write_all(part).await.expect("written");
            sleep(PAUSE).await;
        }
    });

    let received = stream.receive::<String>().await;

    assert_eq!(received.expect("a message"), "a long catalog");
    sender.await.expect("sent");
}

#[tokio::test]
async fn a_peer_that_stops_within_a_message_is_left() {
    let (mut stream, mut peer) = pair().await;
    peer.write_all(&framed("half")[..3]).await.expect("written");

    let received = stream.receive::<String>().await;

    assert!(
        matches!(received, Err(MessageError::Silent)),
        "{received:?}"
    );
}

#[tokio::test]
async fn a_peer_that_reads_slowly_gets_the_whole_message() {
    let (mut stream, mut peer) = pair().await;
    let length = 24 << 20;
    let reader = tokio::spawn(async move {
        let mut read = 0;
        let mut buffer = vec![0; 1 << 20];
        while read < length {
            sleep(PAUSE).await;
            read += peer.read(&mut buffer).await.expect("read");
        }
        read
    });

    let sent = stream.send([Bytes::from(vec![7; length])]).await;

    sent.expect("sent");
    assert!(reader.await.expect("read") >= length);
}

#[tokio::test]
async fn a_long_message_of_few_words_is_short_on_the_wire() {
    let (mut stream, mut peer) = pair().await;
    let routes: Vec<String> = (0..2_000).map(|n| format!("/path/{n}/ to pool")).collect();
    let body = encode(&routes).expect("an encoding");
    let plain: usize = routes.iter().map(String::len).sum();

    peer.write_all(&frame(&body)).await.expect("written");
    let received = stream.receive::<Vec<String>>().await;

    assert!(body.len() < plain / 2, "{} of {plain}", body.len());
    assert_eq!(received.expect("a message"), routes);
}

#[tokio::test]
async fn a_damaged_message_is_refused() {
    for body in [
        &[][..],
        &[1, 0xff, 0xff, 0xff, 0xff, 0],
        &[1, 9, 0, 0, 0, 0xf0],
        &[2, 0],
    ] {
        let (mut stream, mut peer) = pair().await;
        peer.write_all(&frame(body)).await.expect("written");

        let received = stream.receive::<String>().await;

        assert!(
            matches!(received, Err(MessageError::Damaged)),
            "{received:?}"
        );
    }
}
