//! A pool of byte buffers of one size. A buffer is in use until it is dropped; then it returns to the
//! pool. The number of buffers in use is limited, so that memory stays bounded under any load.
//!
//! Used by `forwarder/server`: clients' requests and calls to targets each use one buffer. Not
//! thread-safe.

use std::cell::{Cell, RefCell};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

/// The pool; clones share the buffers.
#[derive(Clone)]
pub struct BufferPool(Rc<Shared>);

struct Shared {
    buffer_bytes: usize,
    max_buffers: Cell<usize>,
    in_use: Cell<usize>,
    free: RefCell<Vec<Box<[u8]>>>,
}

impl BufferPool {
    /// Creates a pool of at most `max_buffers` buffers of `buffer_bytes` each. The memory of a
    /// buffer is allocated when the buffer is first acquired.
    pub fn new(buffer_bytes: usize, max_buffers: usize) -> Self {
        BufferPool(Rc::new(Shared {
            buffer_bytes,
            max_buffers: Cell::new(max_buffers),
            in_use: Cell::new(0),
            free: RefCell::default(),
        }))
    }

    /// Acquires a buffer; `None` if the limit is reached. The contents are arbitrary: those of the
    /// last use, or zeros.
    pub fn try_acquire(&self) -> Option<PooledBuffer> {
        if self.available() == 0 {
            return None;
        }
        let recycled = self.0.free.borrow_mut().pop();
        let bytes = recycled.unwrap_or_else(|| vec![0; self.0.buffer_bytes].into());
        self.0.in_use.set(self.0.in_use.get() + 1);
        Some(PooledBuffer {
            bytes,
            pool: self.0.clone(),
        })
    }

    /// The maximum number of buffers in use.
    pub fn max_buffers(&self) -> usize {
        self.0.max_buffers.get()
    }

    /// Sets the maximum number of buffers in use. Buffers beyond it stay in use until they are dropped.
    pub fn set_max_buffers(&self, max_buffers: usize) {
        self.0.max_buffers.set(max_buffers);
    }

    /// Number of buffers that can still be acquired.
    pub fn available(&self) -> usize {
        self.0.max_buffers.get().saturating_sub(self.0.in_use.get())
    }

    /// Number of buffers that are in use.
    pub fn in_use(&self) -> usize {
        self.0.in_use.get()
    }
}

/// A buffer that returns to its pool when it is dropped.
pub struct PooledBuffer {
    bytes: Box<[u8]>,
    pool: Rc<Shared>,
}

impl Deref for PooledBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl DerefMut for PooledBuffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}

impl Drop for PooledBuffer {
    fn drop(&mut self) {
        self.pool.in_use.set(self.pool.in_use.get() - 1);
        self.pool
            .free
            .borrow_mut()
            .push(std::mem::take(&mut self.bytes));
    }
}
