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
