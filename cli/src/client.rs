//! Client of the operators' address of one entry.

use crate::{args::Entry, error::CommandError};
use bytes::Bytes;
use cornelrail_lib::process::operator_api::ErrorAnswer;
use http::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use std::{error::Error, fs, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, runtime::Builder, time};

/// Time that an entry has to take the connection.
const CONNECT_TIME: Duration = Duration::from_secs(2);
/// Time that an entry has to answer; a note waits for a quorum.
const ANSWER_TIME: Duration = Duration::from_secs(12);
/// Longest answer, in bytes.
const ANSWER_BYTES_MAX: usize = 64 << 20;

/// Asks the first entry that can be reached.
#[derive(Debug)]
pub(crate) struct Client {
    addresses: Vec<SocketAddr>,
    token: String,
}

/// An answer with its status.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Client {
    /// A client with the operator's token.
    pub(crate) fn new(entry: &Entry) -> Result<Self, CommandError> {
        let token = fs::read_to_string(&entry.token).map_err(|fault| CommandError::Read {
            path: entry.token.clone(),
            fault,
        })?;
        Ok(Client {
            addresses: entry.addresses.clone(),
            token: token.trim().to_owned(),
        })
    }

    /// Asks for the answer at a path.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        self.ask(Method::GET, path, String::new())
    }

    /// Sends a text to a path.
    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        text: String,
    ) -> Result<T, CommandError> {
        self.ask(Method::POST, path, text)
    }

    fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        text: String,
    ) -> Result<T, CommandError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, "entry")
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "text/plain; charset=utf-8")
            .body(Full::new(Bytes::from(text)))
            .map_err(|e| CommandError::arguments(e.to_string(), "use plain characters"))?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| CommandError::Run(e.to_string()))?;
        let answer = runtime.block_on(async {
            time::timeout(ANSWER_TIME, self.exchange(request))
                .await
                .unwrap_or_else(|_| Err("it took too long".into()))
        });
        let answer = answer.map_err(|e| self.unreachable(e.to_string()))?;
        self.read(&answer)
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Box<dyn Error + Send + Sync>> {
        let stream = self.connect().await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::spawn(connection);
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_BYTES_MAX);
        let body = body.collect().await?.to_bytes();
        task.abort();
        Ok(Answer { status, body })
    }

    /// Connects to the first entry that can be reached.
    async fn connect(&self) -> Result<TcpStream, Box<dyn Error + Send + Sync>> {
        let mut fault = "no address".into();
        for address in &self.addresses {
            match time::timeout(CONNECT_TIME, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => return Ok(stream),
                Ok(Err(error)) => fault = error.into(),
                Err(late) => fault = late.into(),
            }
        }
        Err(fault)
    }

    /// Reads an answer; a status that means an error may still carry the answer's own type.
    fn read<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, CommandError> {
        if let Ok(value) = serde_json::from_slice(&answer.body) {
            return Ok(value);
        }
        let text = match serde_json::from_slice::<ErrorAnswer>(&answer.body) {
            Ok(answer) => answer.error,
            Err(_) => format!("status {} without a known answer", answer.status),
        };
        match answer.status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Err(CommandError::NotAllowed(text)),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
                Err(self.unreachable(text))
            }
            _ => Err(CommandError::Refused(text)),
        }
    }

    fn unreachable(&self, problem: String) -> CommandError {
        let addresses: Vec<_> = self.addresses.iter().map(ToString::to_string).collect();
        CommandError::Unreachable {
            address: addresses.join(", "),
            problem,
        }
    }
}

/// Escapes a value for the query of a path.
pub(crate) fn escape_query(value: &str) -> String {
    value
        .bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}
