//! Links between two processes that delay, cut and thin their traffic.
//!
//! A link listens on the loopback address and relays to its target, both ways. [`UdpLink`] loses
//! packets while it is cut; [`TcpLink`] holds bytes back, as a network does whose packets are
//! sent again.

use crate::timer;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{HashMap, hash_map::Entry},
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    task::JoinSet,
};

const PACKET_BYTES: usize = 65_536;
const CHUNK_BYTES: usize = 16_384;
const QUEUE_PACKETS: usize = 4_096;
const QUEUE_CHUNKS: usize = 64;

/// What a link does to the traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Weather {
    target: Option<SocketAddr>,
    delay: Duration,
    cut: bool,
    loss: f64,
}

/// Handle of a running link; a dropped one ends.
#[derive(Debug)]
struct Control {
    address: SocketAddr,
    weather: watch::Sender<Weather>,
    tasks: JoinSet<()>,
}

type Queue<T> = mpsc::Sender<(Instant, T)>;

impl Control {
    fn new(address: SocketAddr, delay: Duration) -> Self {
        Control {
            address,
            weather: watch::Sender::new(Weather {
                target: None,
                delay,
                cut: false,
                loss: 0.0,
            }),
            tasks: JoinSet::new(),
        }
    }
}

macro_rules! controls {
    ($link:ident) => {
        impl $link {
            /// Address that takes the place of the target's.
            pub fn address(&self) -> SocketAddr {
                self.0.address
            }

            /// Names the target; until then nothing gets through.
            pub fn connect(&self, target: SocketAddr) {
                self.change(|weather| weather.target = Some(target));
            }

            /// Sets the time that the traffic takes one way.
            pub fn delay(&self, delay: Duration) {
                self.change(|weather| weather.delay = delay);
            }

            /// Lets nothing through.
            pub fn cut(&self) {
                self.change(|weather| weather.cut = true);
            }

            /// Ends a cut.
            pub fn heal(&self) {
                self.change(|weather| weather.cut = false);
            }

            fn change(&self, change: impl FnOnce(&mut Weather)) {
                self.0.weather.send_modify(change);
            }
        }
    };
}

/// Relay of datagrams.
#[derive(Debug)]
pub struct UdpLink(Control);

/// Relay of TCP connections.
#[derive(Debug)]
pub struct TcpLink(Control);

controls!(UdpLink);
controls!(TcpLink);

impl UdpLink {
    /// Starts a link that takes `delay` one way.
    pub async fn start(delay: Duration) -> io::Result<UdpLink> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let mut control = Control::new(socket.local_addr()?, delay);
        let weather = control.weather.subscribe();
        control
            .tasks
            .spawn(relay_datagrams(Arc::new(socket), weather));
        Ok(UdpLink(control))
    }

    /// Loses this share of the packets, between 0 and 1.
    pub fn lose(&self, share: f64) {
        self.change(|weather| weather.loss = share);
    }
}

impl TcpLink {
    /// Starts a link that takes `delay` one way.
    pub async fn start(delay: Duration) -> io::Result<TcpLink> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let mut control = Control::new(listener.local_addr()?, delay);
        let weather = control.weather.subscribe();
        control.tasks.spawn(relay_connections(listener, weather));
        Ok(TcpLink(control))
    }
}

/// Relays the datagrams of each client through a socket of its own.
async fn relay_datagrams(front: Arc<UdpSocket>, weather: watch::Receiver<Weather>) {
    let mut clients: HashMap<SocketAddr, Queue<Bytes>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(
        front.local_addr().map_or(0, |local| local.port()),
    ));
    let mut buffer = vec![0; PACKET_BYTES];
    loop {
        let Ok((length, client)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        let now = *weather.borrow();
        let Some(target) = now.target else { continue };
        if now.cut || rng.random::<f64>() < now.loss {
            continue;
        }
        let queue = match clients.entry(client) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(slot) => {
                let ways = (target, Arc::clone(&front), client);
                let Ok(queue) = open_client(&mut tasks, ways, &weather).await else {
                    continue;
                };
                slot.insert(queue)
            }
        };
        let packet = Bytes::copy_from_slice(&buffer[..length]);
        let _ = queue.try_send((Instant::now() + now.delay, packet));
    }
}

/// Opens the socket through which a client's datagrams reach the target.
async fn open_client(
    tasks: &mut JoinSet<()>,
    (target, front, client): (SocketAddr, Arc<UdpSocket>, SocketAddr),
    weather: &watch::Receiver<Weather>,
) -> io::Result<Queue<Bytes>> {
    let back = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
    let (queue, packets) = mpsc::channel(QUEUE_PACKETS);
    tasks.spawn(send_datagrams(Arc::clone(&back), target, packets));
    tasks.spawn(return_datagrams(back, front, client, weather.clone()));
    Ok(queue)
}

async fn send_datagrams(
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    mut packets: mpsc::Receiver<(Instant, Bytes)>,
) {
    while let Some((due, packet)) = packets.recv().await {
        if due > Instant::now() {
            timer::sleep_until(due).await;
        }
        let _ = socket.send_to(&packet, to).await;
    }
}

/// Relays what the target sends back.
async fn return_datagrams(
    back: Arc<UdpSocket>,
    front: Arc<UdpSocket>,
    client: SocketAddr,
    weather: watch::Receiver<Weather>,
) {
    let (queue, packets) = mpsc::channel(QUEUE_PACKETS);
    let mut sending = JoinSet::new();
    sending.spawn(send_datagrams(front, client, packets));
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(client.port()));
    let mut buffer = vec![0; PACKET_BYTES];
    loop {
        let Ok((length, _)) = back.recv_from(&mut buffer).await else {
            continue;
        };
        let now = *weather.borrow();
        if now.cut || rng.random::<f64>() < now.loss {
            continue;
        }
        let packet = Bytes::copy_from_slice(&buffer[..length]);
        let _ = queue.try_send((Instant::now() + now.delay, packet));
    }
}

async fn relay_connections(listener: TcpListener, weather: watch::Receiver<Weather>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(relay_connection(stream, weather.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay_connection(near: TcpStream, mut weather: watch::Receiver<Weather>) {
    let ready = weather.wait_for(|weather| !weather.cut && weather.target.is_some());
    let Some(target) = ready.await.ok().and_then(|weather| weather.target) else {
        return;
    };
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        pump(near_read, far_write, weather.clone()),
        pump(far_read, near_write, weather),
    );
}

/// Relays one direction of a connection until its end.
async fn pump(from: OwnedReadHalf, to: OwnedWriteHalf, weather: watch::Receiver<Weather>) {
    let (queue, chunks) = mpsc::channel(QUEUE_CHUNKS);
    tokio::join!(
        read_chunks(from, queue, weather.clone()),
        write_chunks(to, chunks, weather),
    );
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    queue: Queue<Bytes>,
    weather: watch::Receiver<Weather>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        let due = Instant::now() + weather.borrow().delay;
        let chunk = Bytes::copy_from_slice(&buffer[..length]);
        if length == 0 || queue.send((due, chunk)).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<(Instant, Bytes)>,
    mut weather: watch::Receiver<Weather>,
) {
    while let Some((due, chunk)) = chunks.recv().await {
        if due > Instant::now() {
            timer::sleep_until(due).await;
        }
        let open = weather.wait_for(|weather| !weather.cut).await.is_ok();
        if !open || to.write_all(&chunk).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
