//! The policy file that `[fleet]` names: one whole policy with a revision number above the last known one. It is parsed here
//! and proposed unchanged; its sections are compiled where request classes and zones are known.

use amberarch_operator::{read, Fault};
use serde::Deserialize;
use toml::Spanned;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    pub revision: Spanned<u64>,
    pub residency: Option<amberarch_residency::Section>,
    pub shares: Option<amberarch_shares::Section>,
}

impl Policy {
    /// Parses a policy file.
    ///
    /// # Errors
    /// The first fault: invalid TOML, an unknown or missing key, or an invalid revision number.
    pub fn parse(text: &str) -> Result<Policy, Fault> {
        let policy: Policy = read(text)?;
        match *policy.revision.get_ref() {
            0 => Err(Fault::at(text, policy.revision.span().start, "revision = 0: numbers begin with 1")),
            _ => Ok(policy),
        }
    }

    /// Whether a text is meant as a policy file: it has `revision`, a key that only such files have.
    pub fn is_meant(text: &str) -> bool {
        let table: Result<toml::Table, _> = toml::from_str(text);
        table.is_ok_and(|table| table.contains_key("revision"))
    }
}
