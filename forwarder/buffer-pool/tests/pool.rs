//! The pool's limit, and the reuse of its buffers.

use plankhill_buffer_pool::BufferPool;
use rstest::rstest;

#[rstest]
fn a_dropped_buffer_is_reused_and_the_limit_is_enforced() {
    let pool = BufferPool::new(8, 2);
    let mut one = pool.try_acquire().expect("under the limit");
    one[0] = 7;
    let two = pool.try_acquire().expect("under the limit");
    assert!(pool.try_acquire().is_none());
    drop(one);
    assert_eq!(
        (
            pool.in_use(),
            pool.try_acquire().expect("returned to the pool")[0]
        ),
        (1, 7)
    );
    drop(two);
    assert_eq!(pool.in_use(), 0);
}
