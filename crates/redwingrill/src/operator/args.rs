//! Parses the command line.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgGroup;
use clap::ArgMatches;
use clap::error::ErrorKind;
use clap::value_parser;
use clap_complete::Shell;

use super::command::ApplyArgs;
use super::command::Command;
use super::command::ExplainArgs;
use super::command::KeysArgs;
use super::command::NodeSelection;
use super::command::PlatformArgs;
use redwingrill_config::Generation;
use redwingrill_explain::ExplainQuery;
use redwingrill_explain::PartQuery;

const WAIT_DEFAULT_S: &str = "30";

/// Parses a command line whose first item is the program's name. Returns the command and whether
/// results are printed as JSON.
///
/// # Errors
///
/// Returns the error of `clap`, which prints its own message. Requested help is also an error.
pub fn parse(
    args: impl IntoIterator<Item = impl Into<OsString> + Clone>,
) -> Result<(Command, bool), clap::Error> {
    let matches = cli().try_get_matches_from(args)?;
    let json = matches.get_flag("json");
    let (name, sub) = matches.subcommand().expect("subcommand is required by the definition");
    let command = match name {
        "check" => Command::Check { files: many(sub, "files") },
        "apply" => Command::Apply(apply_args(sub)),
        "show" => Command::Show { platform: platform(sub) },
        "status" => Command::Status { platform: platform(sub), nodes: nodes(sub) },
        "dump" => Command::Dump { node: required(sub, "node") },
        "explain" => Command::Explain(explain_args(sub)?),
        "drain" => Command::Drain { node: required(sub, "node") },
        "hash-key" => Command::HashKey,
        "keys" => Command::Keys(KeysArgs {
            site: required(sub, "site"),
            directory: required(sub, "directory"),
            nodes: many(sub, "names"),
        }),
        _ => Command::Completion { shell: required(sub, "shell") },
    };
    Ok((command, json))
}

/// Returns the definition of the command line.
pub fn cli() -> clap::Command {
    clap::Command::new("redwingrill")
        .about("Checks and applies configurations, and manages router nodes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print results and errors as JSON"),
        )
        .subcommand(sub("check", "Check configuration files").arg(files_arg()))
        .subcommand(apply_command())
        .subcommand(with_platform(sub("show", "Print the accepted configuration"), true))
        .subcommand(with_nodes(with_platform(
            sub("status", "Print the generations that nodes have in force"),
            false,
        )))
        .subcommand(sub("dump", "Print the whole state of a node as JSON").arg(node_arg()))
        .subcommand(explain_command())
        .subcommand(sub("drain", "Start the graceful shutdown of a node").arg(node_arg()))
        .subcommand(sub("hash-key", "Print the hash of the API key on standard input"))
        .subcommand(keys_command())
        .subcommand(
            sub("completion", "Print a completion script")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
}

fn apply_command() -> clap::Command {
    let command = sub("apply", "Apply files as the accepted configuration");
    with_nodes(with_platform(command, true))
        .arg(files_arg())
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("GENERATION")
                .value_parser(value_parser!(u64))
                .help("Apply only if this is the accepted generation; 0 for none yet"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until the nodes have it in force, and list those that do not"),
        )
        .arg(
            Arg::new("wait-s")
                .long("wait-s")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(1..=3600))
                .default_value(WAIT_DEFAULT_S)
                .help("The maximum wait, in seconds"),
        )
}

fn explain_command() -> clap::Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    let tokens = |name: &'static str, help: &'static str| {
        text(name, "TOKENS", help).value_parser(value_parser!(u32))
    };
    sub("explain", "Print where a node would send a request, and why, without sending it")
        .arg(node_arg().help("The address of the node: of its administration, or of its metrics"))
        .arg(text("route", "NAME", "The route, the model or the service"))
        .arg(text("host", "HOST", "The host of the request").requires("path"))
        .arg(text("path", "PATH", "The path of the request").conflicts_with("route"))
        .arg(text("account", "NAME", "The client account"))
        .arg(text("model", "NAME", "The model; without it, the only one of the service"))
        .arg(tokens("prompt-tokens", "The tokens of the prompt; without it, those of --parts"))
        .arg(tokens("output-tokens", "The maximum number of output tokens"))
        .arg(
            text("parts", "ID:TOKENS", "The parts of the prompt in order, the last one private")
                .value_delimiter(',')
                .value_parser(PartQuery::from_str),
        )
        .group(ArgGroup::new("target").args(["route", "path"]).required(true))
}

fn keys_command() -> clap::Command {
    sub("keys", "Create keys and certificates for the connections between nodes")
        .arg(
            Arg::new("site")
                .long("site")
                .value_name("NAME")
                .default_value("redwingrill")
                .help("The name of the deployment in the authority's certificate"),
        )
        .arg(
            Arg::new("directory")
                .long("directory")
                .value_name("DIRECTORY")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The directory for the files; existing files are not overwritten"),
        )
        .arg(
            Arg::new("names")
                .value_name("NODE")
                .required(true)
                .num_args(1..)
                .help("The names of the nodes"),
        )
}

fn sub(name: &'static str, about: &'static str) -> clap::Command {
    clap::Command::new(name).about(about)
}

fn files_arg() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
        .help("INI files, or directories with *.ini files; together they define the desired state")
}

fn node_arg() -> Arg {
    Arg::new("node")
        .long("node")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("The administration address of the node")
}

fn addresses_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help(help)
}

fn with_platform(command: clap::Command, required: bool) -> clap::Command {
    command
        .arg(addresses_arg("platform", "The endpoints of the platform's store").required(required))
        .arg(addresses_arg(
            "instance-list",
            "The endpoints of the platform's instance list, if different from --platform",
        ))
}

fn with_nodes(command: clap::Command) -> clap::Command {
    command.arg(addresses_arg("nodes", "The administration addresses of the nodes")).arg(
        Arg::new("admin-port")
            .long("admin-port")
            .value_name("PORT")
            .value_parser(value_parser!(u16).range(1..))
            .help("Find the nodes in the instance list; this is their administration port"),
    )
}

fn apply_args(matches: &ArgMatches) -> ApplyArgs {
    let wait_s = required::<u64>(matches, "wait-s");
    ApplyArgs {
        files: many(matches, "files"),
        platform: platform(matches),
        nodes: nodes(matches),
        expected: matches.get_one::<u64>("expect").copied().map(Generation),
        wait: matches.get_flag("wait").then(|| Duration::from_secs(wait_s)),
    }
}

fn explain_args(matches: &ArgMatches) -> Result<ExplainArgs, clap::Error> {
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let query = ExplainQuery {
        route: text("route"),
        host: text("host"),
        path: text("path"),
        account: text("account"),
        model: text("model"),
        prompt_tokens: matches.get_one("prompt-tokens").copied(),
        output_tokens: matches.get_one("output-tokens").copied(),
        parts: many(matches, "parts"),
    };
    query.check().map_err(|error| cli().error(ErrorKind::ValueValidation, error))?;
    Ok(ExplainArgs { node: required(matches, "node"), query })
}

fn platform(matches: &ArgMatches) -> PlatformArgs {
    PlatformArgs {
        endpoints: many(matches, "platform"),
        instance_list_endpoints: many(matches, "instance-list"),
    }
}

fn nodes(matches: &ArgMatches) -> NodeSelection {
    NodeSelection {
        addresses: many(matches, "nodes"),
        admin_port: matches.get_one::<u16>("admin-port").copied(),
    }
}

fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).cloned().expect("the argument is required or has a default")
}

fn many<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches.get_many::<T>(name).into_iter().flatten().cloned().collect()
}
