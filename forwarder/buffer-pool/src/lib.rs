//! A pool of byte buffers of one size. A buffer belongs to its holder until the holder drops it; then it goes back to
//! the pool. The pool makes no more buffers than its limit, so that memory stays bounded whatever comes in.
//!
//! Used by `forwarder/server`: clients' requests and calls to targets each hold one buffer. Not thread-safe.

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
    /// A pool of buffers of `buffer_bytes` each, `max_buffers` at most. Memory is taken with a buffer's first use.
    pub fn new(buffer_bytes: usize, max_buffers: usize) -> Self {
        BufferPool(Rc::new(Shared {
            buffer_bytes,
            max_buffers: Cell::new(max_buffers),
            in_use: Cell::new(0),
            free: RefCell::default(),
        }))
    }

    /// A buffer, or none at the limit. Its contents are arbitrary: those of the last holder, or zeros.
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

    /// The limit.
    pub fn max_buffers(&self) -> usize {
        self.0.max_buffers.get()
    }

    /// Sets the limit from now on; buffers in use beyond it stay so until they are dropped.
    pub fn set_max_buffers(&self, max_buffers: usize) {
        self.0.max_buffers.set(max_buffers);
    }

    /// Buffers that can still be acquired.
    pub fn available(&self) -> usize {
        self.0.max_buffers.get().saturating_sub(self.0.in_use.get())
    }

    /// Buffers that have a holder.
    pub fn in_use(&self) -> usize {
        self.0.in_use.get()
    }
}

/// A buffer of the pool, to which it goes back when it is dropped.
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
