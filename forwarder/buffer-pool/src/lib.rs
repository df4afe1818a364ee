//! A pool of byte buffers of one size. A buffer is its holder's until it is dropped; then the pool has it
//! again. The pool makes no more than its cap, so that memory stays bounded whatever comes in.

use std::cell::{Cell, RefCell};
use std::ops::{Deref, DerefMut};
use std::rc::Rc;

#[derive(Clone)]
pub struct Pool(Rc<Shelf>);

struct Shelf {
    size: usize,
    most: Cell<usize>,
    out: Cell<usize>,
    free: RefCell<Vec<Box<[u8]>>>,
}

impl Pool {
    pub fn new(size: usize, most: usize) -> Self {
        Pool(Rc::new(Shelf {
            size,
            most: Cell::new(most),
            out: Cell::new(0),
            free: RefCell::default(),
        }))
    }

    /// None at the cap.
    pub fn take(&self) -> Option<Buffer> {
        if self.left() == 0 {
            return None;
        }
        let bytes = self
            .0
            .free
            .borrow_mut()
            .pop()
            .unwrap_or_else(|| vec![0; self.0.size].into());
        self.0.out.set(self.0.out.get() + 1);
        Some(Buffer {
            bytes,
            home: self.0.clone(),
        })
    }

    pub fn most(&self) -> usize {
        self.0.most.get()
    }

    /// From now on; buffers that are out over it stay so until they are dropped.
    pub fn set_most(&self, most: usize) {
        self.0.most.set(most);
    }

    /// As many can still be taken.
    pub fn left(&self) -> usize {
        self.0.most.get().saturating_sub(self.0.out.get())
    }

    pub fn out(&self) -> usize {
        self.0.out.get()
    }
}

/// Gives its bytes back to the pool when it is dropped. What an earlier holder wrote may still be in it.
pub struct Buffer {
    bytes: Box<[u8]>,
    home: Rc<Shelf>,
}

impl Deref for Buffer {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.home.out.set(self.home.out.get() - 1);
        self.home
            .free
            .borrow_mut()
            .push(std::mem::take(&mut self.bytes));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    fn a_dropped_buffer_is_used_again_and_the_cap_holds() {
        let pool = Pool::new(8, 2);
        let mut one = pool.take().expect("under the cap");
        one[0] = 7;
        let two = pool.take().expect("under the cap");
        assert!(pool.take().is_none());
        drop(one);
        assert_eq!((pool.out(), pool.take().expect("given back")[0]), (1, 7));
        drop(two);
        assert_eq!(pool.out(), 0);
    }
}
