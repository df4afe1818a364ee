//! A TCP listener with a thread for each connection.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::thread;
use std::time::Duration;

/// Timeout of the connection that wakes the accept thread on drop.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

type OpenConnections = Mutex<Vec<Weak<TcpStream>>>;

/// A listener whose connections are shut down when it is dropped.
pub struct ThreadedListener {
    /// The local address of the listener.
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    open: Arc<OpenConnections>,
}

impl ThreadedListener {
    /// Listens on a loopback port assigned by the system. `serve` is called with each connection, on a
    /// separate thread.
    ///
    /// # Panics
    /// Panics if no port is available.
    pub fn open(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Self {
        Self::bind((Ipv4Addr::LOCALHOST, 0).into(), serve).expect("a loopback port is available")
    }

    /// Listens at `address`. `serve` is called with each connection, on a separate thread.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound, for example if it is in use.
    pub fn bind(
        address: SocketAddr,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let is_closed = Arc::new(AtomicBool::new(false));
        let open: Arc<OpenConnections> = Arc::default();
        let accept_loop = AcceptLoop {
            listener,
            is_closed: Arc::clone(&is_closed),
            open: Arc::clone(&open),
            serve: Arc::new(serve),
        };
        thread::spawn(move || accept_loop.run());
        Ok(Self {
            address,
            is_closed,
            open,
        })
    }
}

impl Drop for ThreadedListener {
    fn drop(&mut self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the accept thread, which checks `is_closed` after each accepted connection.
        let _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
        for stream in lock(&self.open).iter().filter_map(Weak::upgrade) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// State of the accept thread.
struct AcceptLoop<S> {
    listener: TcpListener,
    is_closed: Arc<AtomicBool>,
    open: Arc<OpenConnections>,
    serve: Arc<S>,
}

impl<S: Fn(TcpStream) + Send + Sync + 'static> AcceptLoop<S> {
    fn run(self) {
        for stream in self.listener.incoming() {
            if self.is_closed.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let Ok(other) = stream.try_clone() else {
                continue;
            };
            let tracked = Arc::new(other);
            self.track(&tracked);
            let serve = Arc::clone(&self.serve);
            thread::spawn(move || {
                serve(stream);
                drop(tracked);
            });
        }
    }

    fn track(&self, stream: &Arc<TcpStream>) {
        let mut open = lock(&self.open);
        open.retain(|stream| stream.strong_count() > 0);
        open.push(Arc::downgrade(stream));
    }
}

fn lock(open: &OpenConnections) -> MutexGuard<'_, Vec<Weak<TcpStream>>> {
    open.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
