//! Arguments that subcommands share.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::Arg;
use clap::ArgMatches;

use crate::engine::FencingMode;

pub(super) fn address(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("ADDRESS")
        .default_value("127.0.0.1:0")
        .value_parser(SocketAddr::from_str)
        .help(help)
}

pub(super) fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").default_value(default).help(help)
}

pub(super) fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .default_value(default)
        .value_parser(u64::from_str)
        .help(help)
}

pub(super) fn fencing() -> Arg {
    Arg::new("fencing")
        .long("fencing")
        .value_parser(["checked", "ignored"])
        .default_value("checked")
        .help("Whether old fencing numbers are refused")
}

pub(super) fn address_of(matches: &ArgMatches, name: &str) -> SocketAddr {
    *matches.get_one(name).expect("the argument has a default")
}

pub(super) fn text_of(matches: &ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).expect("the argument has a default").clone()
}

pub(super) fn number_of(matches: &ArgMatches, name: &str) -> u64 {
    *matches.get_one(name).expect("the argument has a default")
}

pub(super) fn small_number_of(matches: &ArgMatches, name: &str) -> u32 {
    u32::try_from(number_of(matches, name)).unwrap_or(u32::MAX)
}

pub(super) fn fencing_of(matches: &ArgMatches) -> FencingMode {
    match text_of(matches, "fencing").as_str() {
        "ignored" => FencingMode::Ignored,
        _ => FencingMode::Checked,
    }
}
