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
      Checks an operator's configuration file and prints each fault with its key.
  plankhill-tier status ADDRESS [--json]
      Prints the status of the controller at ADDRESS (IP:PORT); --json prints it as received.
  plankhill-tier drain ADDRESS NODE... [--zone ZONE]
  plankhill-tier undrain ADDRESS NODE... [--zone ZONE]
      Takes forwarders out of service, or puts them back, by an order to the controller at ADDRESS:
      the named ones and all of ZONE. At least half of a zone must stay in service unless the entire
      zone drains; its clients then go to the nearest other zone.
  plankhill-tier drains ADDRESS [--json]
      Lists the forwarders that are out of service, and which of them have drained (\"empty\").
  plankhill-tier roll ADDRESS [NODE...] [--most N] [--empty-within S] [--back-within S]
      Performs a rolling restart: drains forwarders (all if none is named), at most N at a time
      (default 1), prints when each may be restarted, and puts it back into service once it has
      restarted. Stops if a machine is lost, or is not drained or not back within S seconds
      (default 120 and 600).
  plankhill-tier demo [--programs N]
      Starts a small tier on loopback addresses (Linux), runs N programs (default 40) through it,
      kills a controller and a proxy, and prints what clients saw. Takes under a minute. All
      machines share one disk: if it is busy, set TMPDIR to a directory in memory.

Options:
  --log-format text|json   Format of the log lines on standard output (default: text).
  -h, --help               Prints this text.
  -V, --version            Prints the version.

Environment:
  PLANKHILL_SETTINGS   Path of the settings file.
  PLANKHILL_LOG        Log level (error, warn, info, debug), also per package, for example
                       info,plankhill_proxy=debug (default: info).

Exit codes:
  0   Success.
  1   The checked file is invalid, or the role, the demo or the call failed.
  2   The command line is invalid, or a file that it names cannot be read.
";
