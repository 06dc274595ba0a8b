//! What the steward is told at its start: `GW_CONFIG` names a file that holds all of it.

use std::env;
use std::fs;
use std::net::SocketAddr;

use amberarch_facts::Given;
use serde_json::Value;

use crate::list::Listing;

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    pub sockets: usize,
    pub seed: u64,
    pub known: Listing,
    pub given: Given,
}

pub fn read() -> Result<Config, String> {
    let path = env::var("GW_CONFIG").map_err(|_| "GW_CONFIG names no configuration".to_string())?;
    let text = fs::read_to_string(&path).map_err(|error| format!("GW_CONFIG: {path}: {error}"))?;
    parse(&text, |name| env::var(name).ok())
}

/// The environment says again where to listen and where discovery is, and goes first.
pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let all: Value = serde_json::from_str(text).map_err(|error| format!("configuration: {error}"))?;
    let text = |path: &str| {
        let found = all.pointer(path).and_then(Value::as_str).map(String::from);
        found.ok_or_else(|| format!("configuration: expected a text at {path}"))
    };
    let address = |path: &str, text: String| {
        let read = text.parse::<SocketAddr>();
        read.map_err(|_| format!("configuration: expected an address and port at {path}, found '{text}'"))
    };
    let from = |name: &str, path: &str| env(name).map_or_else(|| text(path), Ok);
    let seed = text("/seed")?;
    let known = all.get("known").cloned().unwrap_or_default();
    let given = Given::from_json(&all["settings"]).map_err(|why| format!("configuration: {why}"))?;
    // On sockets the list comes only to those who ask for it, whatever the deployment's kind.
    let given = given.with("discovery", "on_request");
    let seed = u64::from_str_radix(&seed, 16)
        .map_err(|_| format!("configuration: expected a hexadecimal number at /seed, found '{seed}'"))?;
    complete(&given, seed).map_err(|why| format!("configuration: settings: {why}"))?;
    Ok(Config {
        name: text("/name")?,
        listen: address("/listen", from("GW_LISTEN", "/listen")?)?,
        discovery: address("/discovery", from("GW_DISCOVERY", "/discovery")?)?,
        relay: address("/relay/address", text("/relay/address")?)?,
        sockets: all["limits"]["sockets"]
            .as_u64()
            .ok_or("configuration: expected a number at /limits/sockets")? as usize,
        seed,
        known: serde_json::from_value(known).map_err(|error| format!("configuration: known: {error}"))?,
        given,
    })
}

/// Everything that is read from the settings later stands there in its right form.
fn complete(given: &Given, seed: u64) -> Result<(), String> {
    given.zones()?;
    given.kinds()?;
    given.products()?;
    given.proxies()?;
    given.load_reports()?;
    given.connect_within()?;
    given.ask_within()?;
    given.steward(seed).map(drop)
}
