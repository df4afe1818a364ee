//! A kernel timer that kills this process if its event loop stalls for too long.
//!
//! A process that was stopped, swapped out or starved resumes in the middle of an operation: with a partially written
//! call, after the lease was checked. No check in the process can prevent this, since the process may be stopped right
//! after the check. Therefore the kernel, whose clock keeps running, kills the process before another instance may take
//! over its data. SIGKILL also terminates a stopped process without resuming it. The timer uses the boot clock, which
//! includes the time that the machine is suspended. No clock inside a virtual machine detects that the machine was
//! frozen together with its clock (see `docs/instances.md`).

use std::io;
use std::mem::zeroed;
use std::ptr::null_mut;

/// A watchdog that is armed from the first [`Watchdog::feed`] until it is dropped: a process that has not fed it yet
/// owns nothing.
pub struct Watchdog {
    /// The C library's timer handle, a small number or a pointer. Stored as a number, since a raw pointer would make
    /// the watchdog neither `Send` nor `Sync`.
    timer: usize,
    timeout: f64,
}

impl Watchdog {
    /// Creates a watchdog that kills the process `timeout` milliseconds after the last feed.
    ///
    /// # Errors
    /// The kernel cannot create a timer.
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

    /// Restarts the timeout.
    pub fn feed(&self) {
        // Setting an existing timer cannot fail; if it did, the process would be killed, which is the safe outcome.
        let _ = self.set_timer(self.timeout);
    }

    /// The timeout in milliseconds.
    pub fn timeout(&self) -> f64 {
        self.timeout
    }

    fn id(&self) -> libc::timer_t {
        self.timer as libc::timer_t
    }

    fn set_timer(&self, timeout: f64) -> io::Result<()> {
        let nanos = (timeout * 1e6) as u64;
        // SAFETY: plain data, read once by the kernel; the timer exists as long as `self`.
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
        // SAFETY: created by `new`, deleted once.
        unsafe { libc::timer_delete(self.id()) };
    }
}
