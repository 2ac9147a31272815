//! Logging: each event is one line of key=value pairs on standard error.

use log::LevelFilter;
use log4rs::Config;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Root;
use log4rs::encode::pattern::PatternEncoder;

const LINE_PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.6fZ)(utc)} level={l} {m}{n}";

const APPENDER: &str = "stderr";

/// Initializes logging. Further calls in the same process have no effect.
pub fn init_logs(level: LevelFilter) {
    let encoder = Box::new(PatternEncoder::new(LINE_PATTERN));
    let appender = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(level))
        .expect("the root appender is defined above");
    // Fails only if logging is already initialized, such as when several nodes share a process.
    let _already_initialized = log4rs::init_config(config).is_err();
}
