//! What a target says of itself in its answers: that it wants nothing for a while, or that it leaves.

use crate::test_seeded::{Fleet, ask, fleet_with, set_up};
use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{
    convert::Infallible,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

/// Pause that the target asks for.
const PAUSE: Duration = Duration::from_millis(1_500);
/// Time after its answer in which the target may still get requests.
const SLACK: Duration = Duration::from_millis(500);
/// Requests that the target may get in the rest of the pause.
const ALLOWED: usize = 2;
/// Drain time of the fleet's settings.
const DRAIN: Duration = Duration::from_secs(2);
/// Time within which a caller hears that its request cannot be served.
const AT_ONCE: Duration = Duration::from_millis(200);

/// How the target answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
enum Mode {
    #[default]
    Ready,
    Pausing,
    Leaving,
}

#[derive(Debug, Default)]
struct Target {
    mode: Mutex<Mode>,
    arrivals: Mutex<Vec<Instant>>,
}

impl Target {
    fn set_mode(&self, mode: Mode) {
        *self.mode.lock().expect("whole") = mode;
    }

    fn arrivals(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.lock().expect("whole");
        arrivals.iter().filter(|at| (from..to).contains(at)).count()
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        self.arrivals.lock().expect("whole").push(Instant::now());
        let id = request.headers().get("request-id").cloned();
        let response = Response::builder()
            .header("request-id", id.expect("an id"))
            .header("response-signature", "good")
            .header("server-load", "0,0,4,100");
        let response = match *self.mode.lock().expect("whole") {
            Mode::Ready => response,
            Mode::Pausing => response
                .status(503)
                .header("not-executed", "1")
                .header("retry-after", PAUSE.as_secs_f64().to_string()),
            Mode::Leaving => response.header("server-leaving", "1"),
        };
        response.body(Full::default()).expect("a response")
    }
}

async fn serve(listener: TcpListener, target: Arc<Target>) {
    while let Ok((stream, _)) = listener.accept().await {
        let target = target.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = target.answer(&request);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            // A caller that breaks off ends the connection.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn fleet() -> (Fleet, Arc<Target>) {
    let target = Arc::<Target>::default();
    let served = target.clone();
    let fleet = fleet_with(|listener, _| tokio::spawn(serve(listener, served))).await;
    set_up(&fleet).await;
    (fleet, target)
}

#[tokio::test]
async fn a_target_that_asks_for_a_pause_gets_nothing_meanwhile() {
    let (fleet, target) = fleet().await;
    target.set_mode(Mode::Pausing);
    ask(&fleet, Method::GET, "/r/first", "first", 0).await;
    let answered = Instant::now();

    let mut slowest = Duration::ZERO;
    while answered.elapsed() < PAUSE - Duration::from_millis(100) {
        let asked = Instant::now();
        let (status, ..) = ask(&fleet, Method::GET, "/r/next", "next", 0).await;
        slowest = slowest.max(asked.elapsed());
        assert_eq!(status, 503);
        sleep(Duration::from_millis(20)).await;
    }
    let arrived = target.arrivals(answered + SLACK, answered + PAUSE);
    target.set_mode(Mode::Ready);
    sleep(PAUSE).await;
    let (after, ..) = ask(&fleet, Method::GET, "/r/after", "after", 0).await;

    assert!(arrived <= ALLOWED, "{arrived} requests arrived");
    assert!(slowest <= AT_ONCE, "a caller waited for {slowest:?}");
    assert_eq!(after, 200);
}

#[tokio::test]
async fn a_target_that_says_that_it_leaves_gets_nothing_after_its_drain() {
    let (fleet, target) = fleet().await;
    target.set_mode(Mode::Leaving);
    let (status, ..) = ask(&fleet, Method::GET, "/r/first", "first", 0).await;
    let answered = Instant::now();

    while answered.elapsed() < DRAIN * 3 / 2 {
        ask(&fleet, Method::GET, "/r/next", "next", 0).await;
        sleep(Duration::from_millis(20)).await;
    }

    assert_eq!(status, 200);
    assert_eq!(target.arrivals(answered + DRAIN, Instant::now()), 0);
}
