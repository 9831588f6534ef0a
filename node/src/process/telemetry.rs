//! Traces and metrics of the daemon.
//!
//! Every hop of a request opens a `tracing` span. The trace context comes in and goes out as the
//! W3C header `traceparent`, so one trace spans caller, entry, home and target. There is no host
//! that collects spans: at log level `debug` each ended span is one line of the log, event
//! `span-ended`, and the trace number joins the lines of all hosts.
//!
//! Metrics are recorded by `metrics` and rendered as Prometheus text at the operators' address.

use super::logging::EventLog;
use crate::connection::http_server::{self, respond};
use cornelrail_lib::process::event::Event;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle};
use miette::Diagnostic;
use opentelemetry::{
    Context,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::TracerProvider,
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    propagation::TraceContextPropagator,
    trace::{Sampler, SdkTracerProvider, SpanData, SpanExporter},
};
use std::{io, net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::net::TcpListener;
use tracing::{Span, subscriber::SetGlobalDefaultError};
use tracing_opentelemetry::{OpenTelemetryLayer, OpenTelemetrySpanExt};
use tracing_subscriber::{Layer, filter::filter_fn, layer::SubscriberExt, registry::Registry};

/// Prefix of the modules whose spans are recorded; those of libraries are not.
const OWN_SPANS: &str = "cornelrail";
/// Upper bounds of the buckets of latencies, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.004, 0.008, 0.013, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 5.0, 20.0,
];
/// Name of the W3C header with the trace context.
const TRACEPARENT: &str = "traceparent";
/// Pause between two clean-ups of the recorder's histograms.
const UPKEEP_PAUSE: Duration = Duration::from_secs(5);

/// Why traces or metrics cannot be started.
#[derive(Debug, Error, Diagnostic)]
pub enum TelemetryError {
    /// The metrics recorder was turned down.
    #[error("metrics cannot be started: {0}")]
    #[diagnostic(
        code(cornelrail::telemetry::metrics),
        help("start one daemon a process; report this as a fault if you did")
    )]
    Metrics(#[from] BuildError),
    /// Another subscriber is there.
    #[error("traces cannot be started: {0}")]
    #[diagnostic(
        code(cornelrail::telemetry::traces),
        help("start one daemon a process; report this as a fault if you did")
    )]
    Traces(#[from] SetGlobalDefaultError),
}

/// Renderer of metrics that nobody records, for daemons that share a process.
pub fn unrecorded() -> PrometheusHandle {
    PrometheusBuilder::new().build_recorder().handle()
}

/// Traces and metrics while they run.
#[derive(Debug)]
pub struct Telemetry {
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// Keeps the traces running.
    provider: SdkTracerProvider,
}

impl Telemetry {
    /// Installs the recorder of metrics and the subscriber of spans for this process.
    pub fn install() -> Result<Self, TelemetryError> {
        let metrics = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BUCKETS)?
            .install_recorder()?;
        let provider = SdkTracerProvider::builder()
            .with_sampler(sampler())
            .with_simple_exporter(LogExporter)
            .build();
        let layer = OpenTelemetryLayer::new(provider.tracer("cornelrail")).with_filter(filter_fn(
            |metadata| metadata.target().starts_with(OWN_SPANS),
        ));
        tracing::subscriber::set_global_default(Registry::default().with(layer))?;
        Ok(Telemetry { metrics, provider })
    }

    /// Installs the recorder of metrics alone and serves them as text at an address.
    pub async fn serve_metrics(address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address).await?;
        let recorder = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BUCKETS)
            .and_then(PrometheusBuilder::install_recorder);
        let metrics = recorder.map_err(io::Error::other)?;
        tokio::spawn(Telemetry::upkeep(metrics.clone()));
        let handle = move |_request| {
            let text = metrics.render();
            async move { respond(StatusCode::OK, text.into_bytes()) }
        };
        tokio::spawn(http_server::run(listener, handle));
        Ok(())
    }

    /// Keeps the memory of the metrics bounded; runs until it is dropped.
    pub async fn upkeep(metrics: PrometheusHandle) {
        loop {
            tokio::time::sleep(UPKEEP_PAUSE).await;
            metrics.run_upkeep();
        }
    }

    /// Ends the traces.
    pub fn shutdown(self) -> OTelSdkResult {
        self.provider.shutdown()
    }
}

/// Records spans only where the log shows them; trace numbers travel on in any case.
fn sampler() -> Sampler {
    match log::max_level() >= log::LevelFilter::Debug {
        true => Sampler::AlwaysOn,
        false => Sampler::AlwaysOff,
    }
}

/// Reads the trace context of a request that comes in.
pub fn extract(headers: &HeaderMap) -> Context {
    TraceContextPropagator::new().extract_with_context(&Context::new(), &HeaderReader(headers))
}

/// Makes the span a child of the request's trace context.
pub fn adopt(span: &Span, headers: &HeaderMap) {
    // A span that is not recorded has no parent to set.
    let _ = span.set_parent(extract(headers));
}

/// Makes the span a child of the trace context in a `traceparent` text.
pub fn adopt_text(span: &Span, trace: &str) {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(trace) {
        headers.insert(TRACEPARENT, value);
    }
    adopt(span, &headers);
}

/// The span's trace context as a `traceparent` text.
pub fn traceparent(span: &Span) -> Option<String> {
    let mut headers = HeaderMap::new();
    inject_context(&span.context(), &mut headers);
    let value = headers.get(TRACEPARENT)?;
    value.to_str().ok().map(str::to_owned)
}

/// Writes the trace context of the current span to a request that goes out.
pub fn inject(headers: &mut HeaderMap) {
    inject_context(&Span::current().context(), headers);
}

/// Writes a trace context to a request that goes out.
pub fn inject_context(context: &Context, headers: &mut HeaderMap) {
    TraceContextPropagator::new().inject_context(context, &mut HeaderWriter(headers));
}

struct HeaderReader<'a>(&'a HeaderMap);

impl Extractor for HeaderReader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeaderWriter<'a>(&'a mut HeaderMap);

impl Injector for HeaderWriter<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = HeaderName::from_bytes(key.as_bytes());
        let value = HeaderValue::from_str(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            self.0.insert(name, value);
        }
    }
}

/// Writes each ended span to the log.
#[derive(Debug)]
struct LogExporter;

impl SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in &batch {
            log_span(span);
        }
        Ok(())
    }
}

fn log_span(span: &SpanData) {
    let spent = span.end_time.duration_since(span.start_time);
    Event::SpanEnded.log(format_args!(
        "trace={} span={} parent={} hop={} micros={}",
        span.span_context.trace_id(),
        span.span_context.span_id(),
        span.parent_span_id,
        span.name,
        spent.unwrap_or_default().as_micros(),
    ));
}
