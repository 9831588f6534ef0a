//! Links that are cut and healed.

use cornelrail_testutils::link::{TcpLink, UdpLink};
use std::time::{Duration, Instant};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};

const DELAY: Duration = Duration::from_millis(20);
const PATIENCE: Duration = Duration::from_millis(200);

#[tokio::test]
async fn datagrams_are_delayed_and_lost_in_a_cut() {
    let server = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let client = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let link = UdpLink::start(DELAY).await.expect("a free port");
    link.connect(server.local_addr().expect("bound"));
    let mut buffer = [0; 16];

    let start = Instant::now();
    client.send_to(b"one", link.address()).await.expect("sent");
    let (_, from) = server.recv_from(&mut buffer).await.expect("arrives");
    server.send_to(b"two", from).await.expect("sent");
    client.recv_from(&mut buffer).await.expect("comes back");
    let round_trip = start.elapsed();
    link.cut();
    client
        .send_to(b"three", link.address())
        .await
        .expect("sent");
    let lost = timeout(PATIENCE, server.recv_from(&mut buffer)).await;
    link.heal();
    client.send_to(b"four", link.address()).await.expect("sent");
    let (length, _) = server.recv_from(&mut buffer).await.expect("arrives");

    assert!(round_trip >= 2 * DELAY);
    assert!(lost.is_err());
    assert_eq!(&buffer[..length], b"four");
}

#[tokio::test]
async fn bytes_are_held_back_in_a_cut_and_none_is_lost() {
    let server = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let link = TcpLink::start(DELAY).await.expect("a free port");
    link.connect(server.local_addr().expect("bound"));
    let mut client = TcpStream::connect(link.address()).await.expect("accepted");
    let (mut far, _) = server.accept().await.expect("relayed");
    let mut buffer = Vec::new();

    client.write_all(b"before ").await.expect("sent");
    far.read_buf(&mut buffer).await.expect("arrives");
    link.cut();
    client.write_all(b"during").await.expect("sent");
    let held = timeout(PATIENCE, far.read_buf(&mut buffer)).await;
    link.heal();
    drop(client);
    far.read_to_end(&mut buffer).await.expect("arrives");

    assert!(held.is_err());
    assert_eq!(buffer, b"before during");
}
