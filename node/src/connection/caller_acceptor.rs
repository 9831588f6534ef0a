//! Accepts the connections of callers of a configured fleet, in place of the server library's own
//! acceptor, which leaves no place for a stream around the socket.

use super::reset_stream::ResetStream;
use salvo::{
    conn::{Accepted, Acceptor, ConnCtrl, Holding, StraightStream, tcp::TcpCoupler},
    fuse::{ArcFusePolicy, FuseAction, FuseInfo, TransProto},
    http::{Version, uri::Scheme},
};
use std::{io, net::SocketAddr};
use tokio::net::{TcpListener, TcpStream};

/// Stream of a caller's connection.
type CallerStream = StraightStream<ResetStream<TcpStream>>;

/// Acceptor of callers' connections.
#[derive(Debug)]
pub struct CallerAcceptor {
    listener: TcpListener,
    holdings: Vec<Holding>,
    /// Connection that was accepted before the wait for its admission was given up.
    pending: Option<(TcpStream, SocketAddr)>,
}

impl CallerAcceptor {
    /// Acceptor of the connections that `listener` has.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        let holding = Holding {
            local_addr: listener.local_addr()?.into(),
            http_versions: vec![Version::HTTP_11],
            http_scheme: Scheme::HTTP,
        };
        Ok(CallerAcceptor {
            listener,
            holdings: vec![holding],
            pending: None,
        })
    }
}

impl Acceptor for CallerAcceptor {
    type Coupler = TcpCoupler<CallerStream>;
    type Stream = CallerStream;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            let remote = match &self.pending {
                Some((_, remote)) => *remote,
                None => self.pending.insert(self.listener.accept().await?).1,
            };
            let local_addr = self.holdings[0].local_addr.clone();
            let conn_ctrl = ConnCtrl::new();
            let mut decided = (None, None);
            if let Some(policy) = &fuse_policy {
                let info = FuseInfo {
                    trans_proto: TransProto::Tcp,
                    remote_addr: remote.into(),
                    local_addr: local_addr.clone(),
                };
                match policy.decide(&info).await {
                    FuseAction::Accept(config) => {
                        decided = (Some(config), policy.observe(&info, &conn_ctrl));
                    }
                    FuseAction::Reject => {
                        self.pending = None;
                        continue;
                    }
                }
            }
            let (fuse_config, observer) = decided;
            let Some((stream, remote)) = self.pending.take() else {
                continue;
            };
            let stream = ResetStream::new(stream);
            let stream = StraightStream::new(stream, fuse_config, conn_ctrl.clone(), observer);
            return Ok(Accepted {
                coupler: TcpCoupler::new(),
                stream,
                fuse_config,
                conn_ctrl,
                remote_addr: remote.into(),
                local_addr,
                http_scheme: Scheme::HTTP,
            });
        }
    }
}
