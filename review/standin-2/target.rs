//! Targets: they register with heartbeats, and run what they are sent as the pages say.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;

/// A request that a target ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub target: String,
    pub request_id: String,
    pub path: String,
    pub body: Vec<u8>,
    pub last_event_id: Option<u64>,
}

/// What a target answers: writes the response to a request, of which it is the `n`th run (from 1).
pub type Behavior = dyn Fn(&Target, &Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

pub struct Target {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub capacity: u32,
    pub state: Mutex<String>,
    pub sequence: Mutex<u64>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Arc<Record>,
    pub behavior: Box<Behavior>,
}

impl Target {
    /// Listens, and sends heartbeats to the controllers.
    pub fn start(self: Arc<Self>, controllers: Vec<SocketAddr>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let target = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = target.clone();
                std::thread::spawn(move || {
                    let _ = target.serve(stream);
                });
            }
        });
        std::thread::spawn(move || loop {
            for controller in &controllers {
                if self.beat(*controller) {
                    break;
                }
            }
            std::thread::sleep(Duration::from_millis(1_200));
        });
        Ok(())
    }

    /// Sends one heartbeat; returns whether it was acknowledged.
    pub fn beat(&self, controller: SocketAddr) -> bool {
        let state = self.state.lock().unwrap().clone();
        let sequence = {
            let mut sequence = self.sequence.lock().unwrap();
            *sequence += 1;
            *sequence
        };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{},\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"phase\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence}}}",
            self.service, self.address, self.zone, self.capacity
        );
        let headers = [
            ("Host", controller.to_string()),
            ("Content-Type", "application/json".to_string()),
        ];
        let path = format!("/-/instances/{}", self.id);
        let wait = Duration::from_secs(1);
        http::call(controller, "PUT", &path, &headers, body.as_bytes(), wait)
            .is_ok_and(|response| response.status() / 100 == 2)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &mut request)?;
            let load = "Upstream-Load: 0,0,32\r\n";
            if request.path() == "/healthz" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n{load}Content-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(head.as_bytes())?;
                continue;
            }
            let expected = request.header("expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let head = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                writer.write_all(head.as_bytes())?;
                continue;
            }
            let request_id = request.header("request-id").unwrap_or("").to_string();
            let last_event_id = request
                .header("last-event-id")
                .and_then(|id| id.parse().ok());
            self.record.line(&format!(
                "target {} runs {request_id} {} ({} bytes, Last-Event-Id {last_event_id:?})",
                self.id,
                request.path(),
                request.body.len()
            ));
            self.runs.lock().unwrap().push(Run {
                target: self.id.clone(),
                request_id,
                path: request.path().to_string(),
                body: request.body.clone(),
                last_event_id,
            });
            (self.behavior)(self, &request, &mut writer)?;
        }
        Ok(())
    }

    /// The head of a success, up to the headers of its body.
    pub fn head(&self, request: &Message) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nUpstream-Signature: {}.{}\r\nUpstream-Load: 0,0,32\r\nKeep-Alive: timeout=5\r\n",
            request.header("request-id").unwrap_or(""),
            self.id,
            request.header("request-id").unwrap_or("")
        )
    }
}

/// Writes one chunk of a chunked body; an empty one ends the body.
pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes)
}
