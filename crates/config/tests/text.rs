//! Properties of the text format.

use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use redwingrill_config::parse_str;
use redwingrill_config::reference;
use redwingrill_config::render;
use redwingrill_entity::Names;

const SEEDS: u64 = 500;

const FRAGMENTS: &[&str] = &[
    "[account ",
    "[priority p]\n",
    "[upstream u]\n",
    "[service s]\n",
    "]",
    "\n",
    "=",
    " = ",
    ":",
    "level",
    "key_hashes",
    "blake3:",
    "10.0.0.1:80",
    "250 ms",
    "100 %",
    "tokens/s",
    "POST /x",
    ",",
    "\"",
    "'",
    "\\",
    "é",
    "\u{0}",
    "18446744073709551615",
    ";",
    "#",
    "1.5 s",
    ".",
    "first_token_target = ",
    "kind = engine\n",
];

fn random_text(rng: &mut SmallRng) -> String {
    let fragments = rng.random_range(0..60);
    (0..fragments).map(|_| FRAGMENTS[rng.random_range(0..FRAGMENTS.len())]).collect()
}

/// Returns a valid text of random size.
fn valid_text(rng: &mut SmallRng) -> String {
    let mut text = String::from("[model m]\nweights_version = v 1\n");
    let priorities = rng.random_range(1..5);
    for level in 0..priorities {
        let (target, floor) = (rng.random_range(1..9_999), rng.random_range(0..20));
        text +=
            &format!("[priority p{level}]\nlevel = {level}\nfirst_token_target = {target} ms\n");
        text += &format!("queue_deadline = {}.5 s\nfloor = {floor} %\n", rng.random_range(1..99));
    }
    for account in 0..rng.random_range(0..30) {
        let hash = blake3::hash(format!("key {account}").as_bytes());
        let priority = rng.random_range(0..priorities);
        text += &format!("[account a{account}]\nkey_hashes = blake3:{hash}\n");
        text += &format!("priorities = p{priority}\nweight = {}\n", rng.random_range(1..9));
    }
    for upstream in 1..rng.random_range(2..30) {
        let address = SocketAddr::from(([10, 0, 0, upstream], 80));
        text += &format!("[upstream u{upstream}]\naddress = {address}\nfailure_domain = d\n");
        let engine = rng.random_bool(0.5);
        text += if engine { "kind = engine\nmodel = m\nrole = r\n" } else { "kind = service\n" };
    }
    text
}

#[test]
fn parser_never_panics_on_random_text() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let text = random_text(&mut rng);
        if let Err(faults) = parse_str("site.ini", &text, &mut Names::default()) {
            assert!(!faults.found.is_empty(), "seed {seed}");
            assert!(faults.found.iter().all(|f| !f.reason.is_empty() && !f.hint.is_empty()));
        }
    }
}

#[test]
fn rendered_state_parses_to_the_same_state() {
    for seed in 0..SEEDS / 5 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut names = Names::default();
        let state = parse_str("site.ini", &valid_text(&mut rng), &mut names)
            .unwrap_or_else(|faults| panic!("seed {seed}: {faults}"));
        let again = parse_str("again.ini", &render(&state, &names), &mut names);
        assert_eq!(again, Ok(state), "seed {seed}");
    }
}

#[test]
fn reference_page_is_up_to_date() {
    const PAGE: &str = "../../docs/operating/configuration.md";
    const BEGIN: &str = "<!-- keys: written by the test, do not edit -->\n";
    const END: &str = "<!-- end of keys -->\n";
    let page = std::fs::read_to_string(PAGE).expect("the page exists");
    let (head, rest) = page.split_once(BEGIN).expect("the page contains the begin marker");
    let (found, tail) = rest.split_once(END).expect("the page contains the end marker");
    let bless = std::env::var(redwingrill_golden::BLESS_VARIABLE).is_ok_and(|v| v == "1");
    if bless {
        let blessed = format!("{head}{BEGIN}{}{END}{tail}", reference());
        std::fs::write(PAGE, blessed).expect("the page is writable");
        return;
    }
    assert_eq!(found, reference(), "set REDWINGRILL_BLESS=1 to update the page");
}
