//! A plain HTTP/1.1 server for short calls, one task a connection.

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{convert::Infallible, time::Duration};
use tokio::{net::TcpListener, time::sleep};

/// Time for the head of a call to arrive, and for an idle connection to be used again.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of the head of a call.
const HEAD_BYTES_MAX: usize = 16 << 10;
/// Pause after the system refused to accept, such as without descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves connections for ever.
pub async fn run<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handle = handle.clone();
        let service = service_fn(move |request| {
            let answer = handle(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        tokio::spawn(async move {
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(HEAD_BYTES_MAX)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            // A caller that breaks off gets no answer and needs none.
            drop(served);
        });
    }
}

/// Answer with a JSON body.
pub fn respond(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
