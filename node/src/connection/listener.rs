//! End of a listener while callers go on connecting.
//!
//! The system makes connections for a listener by itself, and resets those that nobody has accepted when
//! it is closed. One that is made between the last accept and the close is lost that way, with the
//! request that its caller has sent. So the listener first ignores what opens a connection, until the
//! connections that are being made stand, and is closed once all of them are accepted. A caller that
//! was ignored tries again by itself, as after a lost packet, and is refused then.

use socket2::{SockFilter, SockRef};
use std::{io, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Time for the last step by which a connection is made: a round trip within a region.
const HANDSHAKE_TIME: Duration = Duration::from_millis(5);

// Codes of the packet filter, as in `linux/filter.h`.
const LOAD_BYTE: u16 = 0x30;
const JUMP_IF_SET: u16 = 0x45;
const RETURN: u16 = 0x06;
/// Place of the flags in a TCP header.
const FLAGS_AT: u32 = 13;
/// Flag of the packet that opens a connection.
const SYN: u32 = 0x02;
/// Result for a packet that is dropped.
const DROP: u32 = 0;
/// Result for a packet that is kept whole.
const KEEP: u32 = u32::MAX;

/// Accepts the connections that are made, and closes the listener.
pub async fn close(listener: TcpListener, mut accept: impl FnMut(TcpStream)) {
    if ignore_callers(&listener).is_ok() {
        let accepting = async {
            while let Ok((stream, _)) = listener.accept().await {
                accept(stream);
            }
        };
        // It lasts that long unless the system refuses to accept.
        let _ = timeout(HANDSHAKE_TIME, accepting).await;
    }
    // The runtime may not know yet that a connection waits, so the system is asked itself.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        if let Ok(stream) = stream.and_then(TcpStream::from_std) {
            accept(stream);
        }
    }
}

/// Has the system drop packets that open a connection.
fn ignore_callers(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_AT),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, DROP),
        SockFilter::new(RETURN, 0, 0, KEEP),
    ])
}
