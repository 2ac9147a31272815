//! The subcommand that runs a small site in one process.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use http::Request;

use super::arguments::text;
use super::arguments::text_of;
use super::serve::interrupted;
use crate::caller::Call;
use crate::caller::Caller;
use crate::site::PeerNetwork;
use crate::site::Routers;
use crate::site::Site;
use crate::site::StandIns;
use crate::site::apply_site;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

const QUESTION: &str = "Which pen writes on a wet slate board?";
const ANSWER_TOKENS: u32 = 12;
const ORDER_KEY: &str = "order-1";
const ORDER_BODY: &str = r#"{"item":"paint pens","count":3}"#;
const REPLY_LIMIT_BYTES: usize = 1 << 20;
const WAIT: Duration = Duration::from_secs(10);
const TIMEOUTS: Timeouts = Timeouts { connect: WAIT, head: WAIT };

pub(super) fn command() -> Command {
    Command::new("quickstart")
        .about("Run a small site in this process: platform, engines, service and two routers")
        .arg(text("site", "example", "Site file, or one of example, kritartafla, napln"))
        .arg(
            Arg::new("once")
                .long("once")
                .action(ArgAction::SetTrue)
                .help("Send a completion and an order, print the answers, and exit"),
        )
}

pub(super) async fn run(matches: &ArgMatches) -> Result<(), Box<dyn Error>> {
    let site = Site::load(&text_of(matches, "site"))?;
    let stand_ins = StandIns::start(&site).await?;
    let generation = apply_site(&site, &stand_ins).await?;
    let peers = PeerNetwork::new()?;
    let routers = Routers::start(&site, stand_ins.platform.address, &peers, 0, "").await?;
    routers.configured().await?;
    println!("configuration generation {} in force", generation.0);
    print_addresses(&stand_ins, &routers);
    print_commands(&site, &routers);
    let outcome = if matches.get_flag("once") {
        send_both(&site, &stand_ins, &routers).await
    } else {
        interrupted().await.map_err(Into::into)
    };
    routers.stop().await;
    stand_ins.stop().await;
    outcome
}

fn print_addresses(stand_ins: &StandIns, routers: &Routers) {
    let platform = &stand_ins.platform;
    println!("platform   {}  admin {}", platform.address, platform.admin_address);
    for engine in &stand_ins.engines {
        println!("{:<9}  {}  admin {}", engine.name, engine.address, engine.admin_address);
    }
    for service in &stand_ins.services {
        println!("{:<9}  {}  admin {}", service.name, service.address, service.admin_address);
    }
    for (n, node) in (1..).zip(routers.nodes()) {
        println!("router-{n}   {}  admin {}", node.address(), node.admin_address());
    }
}

fn print_commands(site: &Site, routers: &Routers) {
    let address = routers.addresses()[0];
    let key = &site.accounts[0].api_key;
    let model = &site.model;
    println!("\na streamed completion:");
    println!(
        "curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {key}' \
         -H 'Content-Type: application/json' -d '{{\"model\":\"{model}\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"{QUESTION}\"}}]}}'"
    );
    println!("\nan order, which runs once however often it is sent:");
    println!(
        "curl http://{address}/services/{}/orders -H 'Authorization: Bearer {key}' \
         -H 'Idempotency-Key: {ORDER_KEY}' -H 'Content-Type: application/json' -d '{ORDER_BODY}'\n",
        site.service
    );
}

/// Sends a completion, and an order to one router after the other.
async fn send_both(
    site: &Site,
    stand_ins: &StandIns,
    routers: &Routers,
) -> Result<(), Box<dyn Error>> {
    let addresses = routers.addresses();
    let account = &site.accounts[0];
    let call = Call {
        api_key: account.api_key.clone(),
        ..Call::new(&site.model, QUESTION, ANSWER_TOKENS)
    };
    let caller = Caller::new();
    let outcome = caller.complete(addresses[0], &call).await;
    caller.close().await;
    println!("completion: {} of {ANSWER_TOKENS} tokens, {:?}", outcome.tokens, outcome.ending);
    if !outcome.is_complete() {
        return Err("the completion is not complete".into());
    }
    let pool = Pool::new();
    let is_answered = send_order(&pool, site, addresses[0]).await?;
    // Sent again to each other router, the order has its first outcome or an unknown one.
    for &address in &addresses[1..] {
        send_order(&pool, site, address).await?;
    }
    pool.close().await;
    let runs: u64 = stand_ins.services.iter().flat_map(|s| s.runs()).map(|key| key.runs).sum();
    println!("order: sent {} times, ran {runs} times", addresses.len());
    if runs != 1 || !is_answered {
        return Err("the order was not answered or did not run once".into());
    }
    Ok(())
}

/// Sends the order and returns whether it was answered well.
async fn send_order(pool: &Pool, site: &Site, address: SocketAddr) -> Result<bool, Box<dyn Error>> {
    let request = Request::post(format!("/services/{}/orders", site.service))
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {}", site.accounts[0].api_key))
        .header("idempotency-key", ORDER_KEY)
        .header("content-type", "application/json")
        .body(Bytes::from_static(ORDER_BODY.as_bytes()))?;
    let reply = pool.send(address, request, Freshness::Any, &TIMEOUTS).await?;
    let status = reply.status();
    let body = reply.into_body().read_all(REPLY_LIMIT_BYTES, WAIT).await?;
    println!("order: {} {}", status.as_u16(), String::from_utf8_lossy(&body));
    Ok(status.is_success())
}
