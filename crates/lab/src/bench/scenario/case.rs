//! What happens in a scenario.

use crate::load::Accounts;
use crate::load::Priorities;
use crate::load::Traffic;
use crate::site::IniError;
use crate::site::Section;
use crate::site::Site;
use crate::site::load_text;
use crate::site::section;
use crate::site::sections;

const BUILT_IN: &[(&str, &str)] = &[
    ("steady", include_str!("../../../scenarios/cases/steady.ini")),
    ("hot_shift", include_str!("../../../scenarios/cases/hot_shift.ini")),
    ("flood_low", include_str!("../../../scenarios/cases/flood_low.ini")),
    ("flood_high", include_str!("../../../scenarios/cases/flood_high.ini")),
    ("greedy", include_str!("../../../scenarios/cases/greedy.ini")),
    ("small_alone", include_str!("../../../scenarios/cases/small_alone.ini")),
    ("engine_crash", include_str!("../../../scenarios/cases/engine_crash.ini")),
    ("herd", include_str!("../../../scenarios/cases/herd.ini")),
];

/// Something that happens once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CaseEvent {
    /// When it happens.
    pub at_ms: u64,
    /// What happens.
    pub kind: EventKind,
}

/// What happens.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EventKind {
    /// Some engines crash and come back empty.
    CrashEngines {
        /// How many of them.
        percent: usize,
        /// How long they are away.
        away_ms: u64,
    },
    /// All routers are replaced by new ones.
    ReplaceRouters,
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Case {
    /// How long calls are sent.
    pub duration_ms: u64,
    /// From when on calls are counted.
    pub measure_from_ms: u64,
    /// The load.
    pub traffics: Vec<Traffic>,
    /// The events, in the order of their times.
    pub events: Vec<CaseEvent>,
}

impl Case {
    /// Returns the names of the built-in cases.
    pub fn names() -> impl Iterator<Item = &'static str> {
        BUILT_IN.iter().map(|(name, _)| *name)
    }

    /// Reads a built-in case by its name, or a case file by its path.
    pub fn load(name: &str, site: &Site) -> Result<Self, IniError> {
        Self::parse(name, &load_text(name, BUILT_IN)?, site)
    }

    /// Reads the text of a case file.
    pub fn parse(file: &str, text: &str, site: &Site) -> Result<Self, IniError> {
        let sections = sections(file, text)?;
        let scenario = section(file, &sections, "scenario")?;
        let duration_ms = scenario.value("duration_ms")?;
        let mut case = Self {
            duration_ms,
            measure_from_ms: scenario.value("measure_from_ms")?,
            traffics: Vec::new(),
            events: Vec::new(),
        };
        for section in &sections {
            if section.name_after("traffic").is_some() {
                case.traffics.push(traffic(section, duration_ms, site)?);
            }
            if section.name_after("event").is_some() {
                case.events.push(event(section)?);
            }
        }
        case.events.sort_by_key(|event| event.at_ms);
        Ok(case)
    }
}

fn traffic(section: &Section, duration_ms: u64, site: &Site) -> Result<Traffic, IniError> {
    let load_percent: f64 = section.value("load_percent")?;
    let from_ms = if section.has("from_ms") { section.value("from_ms")? } else { 0 };
    let to_ms = if section.has("to_ms") { section.value("to_ms")? } else { duration_ms };
    let has_shift = section.has("shift_every_ms");
    let accounts = if section.has("accounts") { section.text("accounts")? } else { "all" };
    let priorities = if section.has("priorities") { section.text("priorities")? } else { "mixed" };
    Ok(Traffic {
        from_ms,
        to_ms,
        requests_per_s: site.capacity_requests_per_s() * load_percent / 100.0,
        accounts: match accounts {
            "all" => Accounts::All,
            "large" => Accounts::Large,
            "small" => Accounts::Small,
            _ => return Err(section.bad_value("accounts")),
        },
        priorities: match priorities {
            "mixed" => Priorities::Mixed,
            "most_urgent" => Priorities::MostUrgent,
            "least_urgent" => Priorities::LeastUrgent,
            _ => return Err(section.bad_value("priorities")),
        },
        shift_every_ms: if has_shift { section.value("shift_every_ms")? } else { 0 },
    })
}

fn event(section: &Section) -> Result<CaseEvent, IniError> {
    let kind = match section.text("kind")? {
        "crash_engines" => EventKind::CrashEngines {
            percent: section.value("percent")?,
            away_ms: section.value("away_ms")?,
        },
        "replace_routers" => EventKind::ReplaceRouters,
        _ => return Err(section.bad_value("kind")),
    };
    Ok(CaseEvent { at_ms: section.value("at_ms")?, kind })
}
