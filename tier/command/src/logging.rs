//! Logging of the roles to standard output. The other commands do not log.

use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, Layer, Registry};

use crate::LogFormat;

/// The environment variable with the log level, also per package.
const LEVEL_VARIABLE: &str = "PLANKHILL_LOG";

/// Initializes logging of this process; an invalid level is replaced by `info`.
pub(crate) fn start(format: LogFormat) {
    let configured = std::env::var(LEVEL_VARIABLE).unwrap_or_default();
    let parsed = parse_levels(&configured);
    let is_valid = parsed.is_some();
    let levels = parsed.unwrap_or_else(default_levels);
    tracing_subscriber::registry()
        .with(lines(format).with_filter(levels))
        .init();
    if !is_valid {
        tracing::warn!(
            variable = LEVEL_VARIABLE,
            value = configured,
            "log level not understood; using info"
        );
    }
}

/// Parses a list such as `info,plankhill_proxy=debug`; `None` if a
/// segment is invalid.
fn parse_levels(text: &str) -> Option<Targets> {
    let text = text.trim();
    if text.is_empty() {
        return Some(default_levels());
    }
    for segment in text.split(',') {
        // `Targets` parses any other bare word as the name of a package, which would disable the logs
        // of all other packages.
        if !segment.contains('=') && segment.trim().parse::<LevelFilter>().is_err() {
            return None;
        }
    }
    text.parse().ok()
}

fn default_levels() -> Targets {
    Targets::new().with_default(LevelFilter::INFO)
}

fn lines(format: LogFormat) -> Box<dyn Layer<Registry> + Send + Sync> {
    let layer = fmt::layer().with_ansi(false).with_writer(std::io::stdout);
    match format {
        LogFormat::Text => Box::new(layer),
        LogFormat::Json => Box::new(layer.json().flatten_event(true)),
    }
}
