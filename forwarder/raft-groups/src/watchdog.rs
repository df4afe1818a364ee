//! A kernel timer that ends this process when its event loop stood still for too long.
//!
//! A process that was stopped, swapped out or starved wakes in the middle of what it did: with a call half written,
//! after its lease was checked. No check by itself can help, since the process may be stopped right after it. So the
//! kernel, whose clock goes on, ends the process before another instance may own what it held; it never wakes.
//! SIGKILL also ends a process that is stopped. The clock is the boot's, which counts a suspended machine too. A
//! virtual machine frozen with its clock is not seen by any clock inside it: `docs/instances.md` says so.

use std::io;
use std::mem::zeroed;
use std::ptr::null_mut;

/// Armed from its first [`Watchdog::feed`] as long as it lives: a process that has not begun owns nothing.
pub struct Watchdog {
    /// The C library's handle, a small number or a pointer: kept as a number, it belongs to no thread.
    timer: usize,
    timeout: f64,
}

impl Watchdog {
    /// A watchdog that ends the process `timeout` milliseconds after it was fed last.
    ///
    /// # Errors
    /// The kernel gives no timer.
    pub fn new(timeout: f64) -> io::Result<Watchdog> {
        let mut timer: libc::timer_t = null_mut();
        // SAFETY: both are plain data that the kernel reads and writes once; zero is a valid value of either.
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
            timeout,
        })
    }

    /// Begins the timeout again.
    pub fn feed(&self) {
        // It can't fail on a timer that exists; if it did, the process would end, which is the safe side.
        let _ = self.set_timer(self.timeout);
    }

    /// In milliseconds.
    pub fn timeout(&self) -> f64 {
        self.timeout
    }

    fn id(&self) -> libc::timer_t {
        self.timer as libc::timer_t
    }

    fn set_timer(&self, timeout: f64) -> io::Result<()> {
        let nanos = (timeout * 1e6) as u64;
        // SAFETY: plain data, read once by the kernel; the timer lives as long as `self`.
        let set = unsafe {
            let mut expiry: libc::itimerspec = zeroed();
            expiry.it_value.tv_sec = (nanos / 1_000_000_000) as libc::time_t;
            expiry.it_value.tv_nsec = (nanos % 1_000_000_000) as libc::c_long;
            libc::timer_settime(self.id(), 0, &expiry, null_mut())
        };
        match set {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

impl Drop for Watchdog {
    fn drop(&mut self) {
        // SAFETY: made by `new`, deleted once.
        unsafe { libc::timer_delete(self.id()) };
    }
}
