//! Log lines on standard output, for the roles. Commands that end by themselves do not log.

use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, Layer, Registry};

use crate::LogFormat;

/// The environment variable that holds the level, also by package.
const LEVEL_VARIABLE: &str = "PLANKHILL_LOG";

/// Starts the log of this process; a level that is not understood is replaced by `info`.
pub(crate) fn start(format: LogFormat) {
    let wanted = std::env::var(LEVEL_VARIABLE).unwrap_or_default();
    let parsed = parse_levels(&wanted);
    let is_understood = parsed.is_some();
    let levels = parsed.unwrap_or_else(default_levels);
    tracing_subscriber::registry()
        .with(lines(format).with_filter(levels))
        .init();
    if !is_understood {
        tracing::warn!(
            variable = LEVEL_VARIABLE,
            value = wanted,
            "log level not understood; using info"
        );
    }
}

/// Parses a list such as `info,plankhill_proxy=debug`; `None` if a segment of it is not understood.
fn parse_levels(text: &str) -> Option<Targets> {
    let text = text.trim();
    if text.is_empty() {
        return Some(default_levels());
    }
    for segment in text.split(',') {
        // `Targets` takes any bare word for the name of a package, which would silence all others.
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
