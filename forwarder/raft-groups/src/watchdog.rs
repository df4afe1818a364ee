//! A kernel timer that ends this process when its loop stood still for too long.
//!
//! A process that was stopped, swapped out or starved wakes in the middle of what it did: with a call half
//! written, after its lease was checked. No check by itself can help, since it may be stopped right after it.
//! So the kernel, whose clock goes on, ends it before anyone else may own what it held; it never wakes.
//! SIGKILL also ends a process that is stopped. The clock is the boot's, which counts a suspended machine too.
//! A virtual machine frozen with its clock is not seen by any clock inside it: docs/instances.md says so.

use std::io;
use std::mem::zeroed;
use std::ptr::null_mut;

/// Armed from its first [`Deadman::feed`] as long as it lives: a process that has not begun owns nothing.
pub struct Watchdog {
    /// The C library's handle, a small number or a pointer: kept as a number, it belongs to no thread.
    timer: usize,
    span: f64,
}

impl Watchdog {
    /// `span` in milliseconds.
    pub fn new(span: f64) -> io::Result<Watchdog> {
        let mut timer: libc::timer_t = null_mut();
        // Safety: both are plain data that the kernel reads and writes once; zero is a valid value of either.
        let made = unsafe {
            let mut event: libc::sigevent = zeroed();
            event.sigev_notify = libc::SIGEV_SIGNAL;
            event.sigev_signo = libc::SIGKILL;
            libc::timer_create(libc::CLOCK_BOOTTIME, &mut event, &mut timer)
        };
        if made != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(Watchdog {
            timer: timer as usize,
            span,
        })
    }

    /// Begins the span anew.
    pub fn feed(&self) {
        // It can't fail on a timer that exists; if it did, the process would end, which is the safe side.
        let _ = self.set(self.span);
    }

    pub fn span(&self) -> f64 {
        self.span
    }

    fn id(&self) -> libc::timer_t {
        self.timer as libc::timer_t
    }

    fn set(&self, span: f64) -> io::Result<()> {
        let nanos = (span * 1e6) as u64;
        // Safety: plain data, read once by the kernel; the timer lives as long as `self`.
        let set = unsafe {
            let mut when: libc::itimerspec = zeroed();
            when.it_value.tv_sec = (nanos / 1_000_000_000) as libc::time_t;
            when.it_value.tv_nsec = (nanos % 1_000_000_000) as libc::c_long;
            libc::timer_settime(self.id(), 0, &when, null_mut())
        };
        match set {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        // Safety: made by `arm`, deleted once.
        unsafe { libc::timer_delete(self.id()) };
    }
}
