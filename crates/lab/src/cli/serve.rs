//! The subcommands that serve one stand-in until interrupted.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::str::FromStr;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::arguments::address;
use super::arguments::address_of;
use super::arguments::fencing;
use super::arguments::fencing_of;
use super::arguments::number;
use super::arguments::number_of;
use super::arguments::small_number_of;
use super::arguments::text;
use super::arguments::text_of;
use crate::cache_store::CacheStore;
use crate::cache_store::CacheStoreOptions;
use crate::engine::Engine;
use crate::engine::EngineOptions;
use crate::platform::Platform;
use crate::platform::PlatformOptions;
use crate::service::Service;
use crate::service::ServiceOptions;

pub(super) fn platform_command() -> Command {
    Command::new("platform")
        .about("Serve the platform's store and instance list")
        .arg(address("listen", "Address of the store and the list"))
        .arg(address("admin", "Administration address"))
        .arg(number("list-lag-ms", "1000", "How late the list tells of a change"))
}

pub(super) fn engine_command() -> Command {
    Command::new("engine")
        .about("Serve one model engine")
        .arg(address("listen", "Address that serves completions"))
        .arg(address("admin", "Administration address"))
        .arg(text("name", "engine", "Name of the upstream"))
        .arg(text("model", "assistant", "Model"))
        .arg(text("weights-version", "v1", "Weights version"))
        .arg(number("slots", "32", "Requests that generate at the same time"))
        .arg(number("prefill-tokens-per-s", "20000", "Prompt tokens computed in a second"))
        .arg(number("decode-us", "20000", "Time of a step for one request"))
        .arg(number("cache-blocks", "4096", "Size of the prefix cache"))
        .arg(number("answer-tokens", "32", "Tokens of an answer without a limit"))
        .arg(
            Arg::new("export-to")
                .long("export-to")
                .value_name("ADDRESS")
                .value_parser(SocketAddr::from_str)
                .help("KV cache store that computed blocks are exported to"),
        )
        .arg(number("load-lag-ms", "500", "How late the load is reported"))
        .arg(number("events-lag-ms", "300", "How late cache events are reported"))
        .arg(number("events-gap-every", "50", "One in so many cache events is lost"))
        .arg(fencing())
}

pub(super) fn service_command() -> Command {
    Command::new("service")
        .about("Serve one instance of a plain service")
        .arg(address("listen", "Address that serves calls"))
        .arg(address("admin", "Administration address"))
        .arg(text("name", "service", "Name of the upstream"))
        .arg(number("delay-ms", "0", "Time that each call takes"))
        .arg(fencing())
}

pub(super) fn cache_store_command() -> Command {
    Command::new("cache-store")
        .about("Serve a KV cache store")
        .arg(address("listen", "Address that serves engines"))
        .arg(number("blocks", "65536", "Blocks it holds at most"))
}

pub(super) async fn platform(matches: &ArgMatches) -> io::Result<()> {
    let options = PlatformOptions {
        listen: address_of(matches, "listen"),
        admin: address_of(matches, "admin"),
        list_lag_ms: number_of(matches, "list-lag-ms"),
    };
    let running = Platform::start(options).await?;
    announce(running.address, running.admin_address)?;
    interrupted().await?;
    running.stop().await;
    Ok(())
}

pub(super) async fn engine(matches: &ArgMatches) -> io::Result<()> {
    let name = text_of(matches, "name");
    let model = text_of(matches, "model");
    let mut options = EngineOptions::new(&name, &model, &text_of(matches, "weights-version"));
    options.listen = address_of(matches, "listen");
    options.admin = address_of(matches, "admin");
    options.pace.slots = small_number_of(matches, "slots") as usize;
    options.pace.prefill_tokens_per_s = small_number_of(matches, "prefill-tokens-per-s");
    options.pace.decode_us = small_number_of(matches, "decode-us");
    options.cache_blocks_limit = small_number_of(matches, "cache-blocks") as usize;
    options.answer_tokens = small_number_of(matches, "answer-tokens");
    options.export_to = matches.get_one("export-to").copied();
    options.load_lag_ms = number_of(matches, "load-lag-ms");
    options.events_lag_ms = number_of(matches, "events-lag-ms");
    options.events_gap_every = number_of(matches, "events-gap-every");
    options.fencing = fencing_of(matches);
    let running = Engine::start(options).await?;
    announce(running.address, running.admin_address)?;
    interrupted().await?;
    running.stop().await;
    Ok(())
}

pub(super) async fn cache_store(matches: &ArgMatches) -> io::Result<()> {
    let blocks_limit = small_number_of(matches, "blocks") as usize;
    let options = CacheStoreOptions { listen: address_of(matches, "listen"), blocks_limit };
    let running = CacheStore::start(options).await?;
    // It has no faults to switch, and so no administration address of its own.
    announce(running.address, running.address)?;
    interrupted().await?;
    running.stop().await;
    Ok(())
}

pub(super) async fn service(matches: &ArgMatches) -> io::Result<()> {
    let mut options = ServiceOptions::new(&text_of(matches, "name"));
    options.listen = address_of(matches, "listen");
    options.admin = address_of(matches, "admin");
    options.delay_ms = number_of(matches, "delay-ms");
    options.fencing = fencing_of(matches);
    let running = Service::start(options).await?;
    announce(running.address, running.admin_address)?;
    interrupted().await?;
    running.stop().await;
    Ok(())
}

fn announce(listening: SocketAddr, admin: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening={listening} admin={admin}")?;
    out.flush()
}

/// Waits for an interrupt or a request to terminate.
pub(super) async fn interrupted() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
