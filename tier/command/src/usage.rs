//! The text of `--help`.

/// The text of `--help`.
pub(crate) const HELP: &str = "\
Starts and inspects the processes of plankhill's serving tier.

Usage:
  plankhill-tier ROLE [--log-format text|json]
      Runs a role until it is stopped. ROLE is controller, agent, proxy or store. The settings
      come from the file named by PLANKHILL_SETTINGS (default /etc/plankhill/local.toml).
  plankhill-tier check settings FILE
      Checks a settings file and prints each fault with its key.
  plankhill-tier check configuration FILE
      Checks a configuration as an operator would send it and prints each fault with its key.
  plankhill-tier status ADDRESS [--json]
      Asks the controller at ADDRESS (IP:PORT) for its status; --json prints it as received.
  plankhill-tier drain ADDRESS NODE... [--zone ZONE]
  plankhill-tier undrain ADDRESS NODE... [--zone ZONE]
      Takes forwarders out of service, or back, by an order to the controller at ADDRESS: those named
      and all of ZONE. Half of a zone has to stay, or its clients go to the nearest zone with all of it.
  plankhill-tier drains ADDRESS [--json]
      Shows which forwarders are out of service, and which of them are empty.
  plankhill-tier roll ADDRESS [NODE...] [--most N] [--empty-within S] [--back-within S]
      Drains forwarders (all, if none is named) a few at a time (default 1), says when each may be
      started anew, and takes it back once it is. Stops where a machine is lost or one stays behind.
  plankhill-tier demo [--programs N]
      Starts a small tier on loopback addresses (Linux), sends N programs (default 40) through it,
      kills a controller and a proxy, and prints what clients saw. Takes under a minute. All
      machines share one disk: where that is busy, let TMPDIR name a folder in memory.

Options:
  --log-format text|json   Form of the log lines on standard output (default: text).
  -h, --help               Prints this text.
  -V, --version            Prints the version.

Environment:
  PLANKHILL_SETTINGS   Path of the settings file.
  PLANKHILL_LOG        Level of the log (error, warn, info, debug), also by package, as in
                       info,plankhill_proxy=debug (default: info).

Exit codes:
  0   Done, and nothing is wrong.
  1   The checked file is not valid, or the role or the call failed.
  2   The command line is not understood, or a file it names can't be read.
";
