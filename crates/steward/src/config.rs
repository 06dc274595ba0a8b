//! The bootstrap configuration, read from the file that `GW_CONFIG` names.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use amberarch_core::LevelKind;
use amberarch_facts::{Given, Start};
use serde_json::Value;

use crate::desk::{Labels, Make};
use crate::heard::Listing;
use crate::levels::Facts;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    pub sockets: usize,
    pub known: Listing,
    pub labels: Labels,
    pub connect_within: Duration,
    pub ask_within: Duration,
    pub load_reports: bool,
    pub seed: u64,
    given: Given,
}

impl Config {
    /// The deployment settings that service levels need.
    ///
    /// # Errors
    /// Never after the settings were parsed once.
    pub fn level_facts(&self) -> Result<Facts, String> {
        let names = self.labels.products.iter().cloned();
        Ok(Facts {
            zones: self.labels.zones.clone(),
            products: names.zip(self.given.product_facts()?).collect(),
            sums: self.given.sums()?,
            taken: self.given.level_kind()? != LevelKind::Off,
        })
    }

    /// How long a host still counts for the zone that it was listed in before, ms.
    ///
    /// # Errors
    /// Never after the settings were parsed once.
    pub fn drain_grace(&self) -> Result<f64, String> {
        self.given.drain_grace()
    }

    /// The deployment settings that the guard needs.
    ///
    /// # Errors
    /// Never after the settings were parsed once.
    pub fn guard_facts(&self) -> Result<amberarch_guard::Facts, String> {
        let Start { post, products, channel, sidecars, warmup, roster, sums } =
            self.given.start(self.seed)?;
        Ok(amberarch_guard::Facts::new(&post, &products, channel, &sidecars, warmup, &roster, &sums))
    }

    /// Returns the factory of controllers; the settings were parsed once before.
    pub fn make(&self) -> Make {
        let given = self.given.clone();
        Box::new(move |seed| Box::new(given.steward(seed).expect("settings that were read read again")))
    }
}

pub fn read() -> Result<Config, String> {
    from_file(|text| parse(text, |name| env::var(name).ok()))
}

fn from_file<T>(parse: impl FnOnce(&str) -> Result<T, String>) -> Result<T, String> {
    let path = env::var("GW_CONFIG").map_err(|_| "GW_CONFIG names no configuration".to_string())?;
    let text = fs::read_to_string(&path).map_err(|error| format!("GW_CONFIG: {path}: {error}"))?;
    parse(&text).map_err(|why| format!("{path}: {why}"))
}

/// The part of the configuration that can change while the program runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Addresses {
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
}

/// Reads the file again and checks all of it as at the start. The address of discovery in the environment is as old as the
/// process, so now the file's takes precedence. All other settings stay until the next start.
pub fn reread() -> Result<Addresses, String> {
    from_file(addresses)
}

pub fn addresses(text: &str) -> Result<Addresses, String> {
    let Config { discovery, relay, .. } = parse(text, |_| None)?;
    Ok(Addresses { discovery, relay })
}

/// Descriptors that the program uses beside those for probes and incoming connections: the three standard ones, the
/// runtime's (epoll, its waker, the pair for signals), the listener, the relay's calls, two relay watches while one
/// replaces the other, and discovery. An operator's sections add to them; a quarter of the descriptors has to hold all.
const OWN_SOCKETS: usize = 12;

/// The fewest descriptors with which no collector's connection has to be closed for another.
fn least_sockets(zones: usize) -> Option<usize> {
    let guests = zones.checked_mul(2)?.checked_add(1)?;
    Some((2 * guests).max(4 * OWN_SOCKETS))
}

/// Rejects settings that are valid one by one but not together: a controller would start and direct no proxy, or divide by
/// zero.
fn fits(settings: &Value, zones: usize) -> Result<(), String> {
    let number = |path: &str| {
        let value = settings.pointer(&format!("/{}", path.replace('.', "/")))?;
        value.as_f64().or_else(|| value.as_str()?.parse().ok())
    };
    let refuse = |path: &str, expected: String| {
        let found = number(path).map_or("none".into(), |found| found.to_string());
        Err(format!("expected {expected} for the setting {path}, found {found}"))
    };
    // All of these settings were found and parsed before.
    let over = |path: &str, least: f64| number(path).is_some_and(|found| found > least);
    if !over("balancers", 0.0) {
        return refuse("balancers", "one controller or more".into());
    }
    if number("az").is_none_or(|az| az as usize >= zones) {
        return refuse("az", format!("one of the {zones} zones of dcs, from 0"));
    }
    if over("familyInfo.agents", 65_536.0) {
        return refuse(
            "familyInfo.agents",
            "65536 proxies at the most, as their numbers have two bytes".into(),
        );
    }
    for path in
        ["familyInfo.egressPerS", "familyInfo.reportEvery", "familyInfo.reportsPerS", "rules.warmWithin"]
    {
        if !over(path, 0.0) {
            return refuse(path, "more than 0".into());
        }
    }
    let head = number("familyInfo.overhead").unwrap_or(0.0);
    if !over("familyInfo.backlog", head) {
        return refuse(
            "familyInfo.backlog",
            format!("more than the {head} lines of a message's head, familyInfo.overhead"),
        );
    }
    let usual = number("familyInfo.propagation").unwrap_or(0.0);
    if !over("familyInfo.worstTransit", usual - 1.0) {
        return refuse("familyInfo.worstTransit", format!("no less than familyInfo.propagation, {usual}"));
    }
    Ok(())
}

/// Parses the configuration. The addresses of the listener and of discovery in the environment take precedence.
pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let all: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let text = |path: &str| {
        let found = all.pointer(path).and_then(Value::as_str).map(String::from);
        found.ok_or_else(|| format!("expected a text at {path}"))
    };
    let address = |path: &str, named: Option<String>| {
        let text = named.map_or_else(|| text(path), Ok)?;
        text.parse::<SocketAddr>()
            .map_err(|_| format!("expected an address and port at {path}, found '{text}'"))
    };
    let sockets = all.pointer("/limits/sockets").and_then(Value::as_u64);
    let seed = text("/seed")?;
    let seed = u64::from_str_radix(&seed, 16)
        .map_err(|_| format!("expected a hexadecimal number at /seed, found '{seed}'"))?;
    let known = all.get("known").cloned().unwrap_or_default();
    let settings = all.get("settings").ok_or("expected settings, found none")?;
    // On sockets the list is sent only on request, whatever the deployment's kind.
    let given = Given::from_json(settings)?.with("discovery", "on_request");
    given.steward(seed)?;
    let sockets = sockets.ok_or("expected a number at /limits/sockets")? as usize;
    let zones = given.zones()?.len();
    fits(settings, zones)?;
    if let Some(least) = least_sockets(zones).filter(|least| sockets < *least) {
        return Err(format!(
            "expected at least {least} at /limits/sockets, found {sockets}: half are for those who connect, two \
             collectors for each of {zones} zones and one more, a quarter for probes, the rest for the program itself"
        ));
    }
    Ok(Config {
        name: text("/name")?,
        listen: address("/listen", env("GW_LISTEN"))?,
        discovery: address("/discovery", env("GW_DISCOVERY"))?,
        relay: address("/relay/address", None)?,
        sockets,
        known: serde_json::from_value(known).map_err(|error| format!("known: {error}"))?,
        labels: Labels {
            zones: given.zones()?,
            kinds: given.kinds()?,
            products: given.products()?,
            proxies: given.proxies()?,
        },
        connect_within: Duration::from_secs_f64(given.connect_within()? / 1e3),
        ask_within: Duration::from_secs_f64(given.ask_within()? / 1e3),
        load_reports: given.load_reports()?,
        seed,
        given,
    })
}
