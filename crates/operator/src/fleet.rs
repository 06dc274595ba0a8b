//! `[fleet]`: the members of the fleet, the addresses at which they reach each other, and the durations
//! of leases and grants.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use crate::state::Period;
use crate::{between, Unfit};

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// This member's name; `None`: the controller's own name from its configuration.
    pub name: Option<Spanned<String>>,
    /// The fleet's id, the same at all members. Messages from members of another fleet are refused.
    pub id: Spanned<String>,
    /// Address to which other members connect.
    pub listen: SocketAddr,
    pub member: Vec<Spanned<Member>>,
    /// Folder for durable state. Voters need it; one folder per member, on a disk that outlives the
    /// daemon.
    pub folder: Option<PathBuf>,
    /// The policy file, read at the start and on SIGHUP.
    pub policy: Spanned<PathBuf>,
    /// The request classes that a policy may ever govern. Their txns are rejected at once while the rules
    /// in force can't be known.
    pub govern: Spanned<Vec<Spanned<String>>>,
    /// How long a controller acts on the last lease it received, by its own clock.
    #[serde(default = "acts")]
    pub acts: Spanned<Period>,
    /// How long it continues within both the rules of its last lease and those staged beside them.
    #[serde(default = "knows")]
    pub knows: Spanned<Period>,
    /// Bound of the difference in speed between the clocks of two members, as a fraction.
    #[serde(default = "drift")]
    pub drift: Spanned<f64>,
    /// Time that the leader adds to each lease before it counts the lease as expired.
    #[serde(default = "slack")]
    pub slack: Spanned<Period>,
    /// Longest transit time of the relay's channel, which is also the time in which proxies of a failed
    /// controller are bound again.
    #[serde(default = "linger")]
    pub linger: Spanned<Period>,
    /// A voter that receives nothing from a leader for this long (plus up to as long again at random)
    /// starts an election.
    #[serde(default = "election")]
    pub election: Spanned<Period>,
    /// Interval of the leader's heartbeats.
    #[serde(default = "beat")]
    pub beat: Spanned<Period>,
    /// How long a proposal waits until all controllers have checked it.
    #[serde(default = "check_within")]
    pub check_within: Spanned<Period>,
    /// Duration of a quota grant.
    #[serde(default = "grant")]
    pub grant: Spanned<Period>,
    /// Capacity of a warm host of weight 1, in txns per second; quotas are computed from it. Required
    /// where a policy has `[shares]`.
    pub txns_per_s_per_weight: Option<Spanned<f64>>,
    #[serde(default = "most_message")]
    pub most_message_bytes: Spanned<u32>,
    /// File to which every proposal, answer, lease held and durable write is appended as a line of JSON,
    /// for tests and audits.
    pub history: Option<PathBuf>,
}

#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    pub name: Spanned<String>,
    /// Address at which the other members reach it.
    pub address: Spanned<SocketAddr>,
    #[serde(default)]
    pub votes: bool,
}

// Defaults: a lease that outlives two elections, and durations for controllers on one continent.
fn period(ms: u64) -> Spanned<Period> {
    Spanned::new(0..0, Period(Duration::from_millis(ms)))
}
fn acts() -> Spanned<Period> {
    period(3_000)
}
fn knows() -> Spanned<Period> {
    period(30_000)
}
fn drift() -> Spanned<f64> {
    Spanned::new(0..0, 0.01)
}
fn slack() -> Spanned<Period> {
    period(100)
}
fn linger() -> Spanned<Period> {
    period(10_000)
}
fn election() -> Spanned<Period> {
    period(500)
}
fn beat() -> Spanned<Period> {
    period(100)
}
fn check_within() -> Spanned<Period> {
    period(10_000)
}
fn grant() -> Spanned<Period> {
    period(3_000)
}
fn most_message() -> Spanned<u32> {
    Spanned::new(0..0, 4 * 1_024 * 1_024)
}

/// A duration of the file, in ms.
pub fn ms(duration: &Spanned<Period>) -> f64 {
    duration.get_ref().0.as_secs_f64() * 1e3
}

/// Raft's safety needs a majority; more than seven voters make each write slower and the fleet no safer.
const MAX_VOTERS: usize = 7;
/// Names are part of each message and not of file names; a longer one is an error.
const MAX_NAME_BYTES: usize = 128;
/// A fleet has hundreds of followers; a larger number than this is taken for an error in the file.
const MAX_MEMBERS: usize = 4_096;

impl Fleet {
    pub(crate) fn check(&self) -> Result<(), Unfit> {
        self.check_names()?;
        self.check_durations()?;
        if let Some(name) = &self.name {
            self.own(name.get_ref(), name.span())?;
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), Unfit> {
        check_name("id", &self.id)?;
        if self.govern.get_ref().is_empty() {
            return Err((
                self.govern.span(),
                "govern = []: name the products a policy may ever govern".into(),
            ));
        }
        let mut governed = BTreeSet::new();
        for class in self.govern.get_ref() {
            if !governed.insert(class.get_ref()) {
                return Err((class.span(), format!("product {} is named twice", class.get_ref())));
            }
        }
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for member in self.member.iter().map(Spanned::get_ref) {
            check_name("name", &member.name)?;
            if !names.insert(member.name.get_ref()) {
                return Err((member.name.span(), format!("two members are named {}", member.name.get_ref())));
            }
            if !addresses.insert(member.address.get_ref()) {
                let what = format!("two members are at {}", member.address.get_ref());
                return Err((member.address.span(), what));
            }
        }
        let at = |place: usize| self.member.get(place).map_or(self.id.span(), Spanned::span);
        if names.len() > MAX_MEMBERS {
            return Err((at(MAX_MEMBERS), format!("{} members, at most {MAX_MEMBERS}", names.len())));
        }
        let voting = |member: &(usize, &Spanned<Member>)| member.1.get_ref().votes;
        let voters: Vec<usize> =
            self.member.iter().enumerate().filter(voting).map(|(place, _)| place).collect();
        match voters.len() {
            0 => Err((at(0), "no member votes: 1 to 7 have to".into())),
            1..=MAX_VOTERS => Ok(()),
            many => Err((at(voters[MAX_VOTERS]), format!("{many} members vote: 1 to {MAX_VOTERS} may"))),
        }
    }

    /// Checks each duration, and the durations against each other: a lease that ends before it can be
    /// renewed, or before a new leader can be elected, takes service away at every short interruption.
    /// What slack and drift leave of a lease is at least three heartbeats.
    fn check_durations(&self) -> Result<(), Unfit> {
        const HOUR: u64 = 3_600_000;
        let durations = [
            ("acts", &self.acts, 100, HOUR),
            ("knows", &self.knows, 100, 24 * HOUR),
            ("slack", &self.slack, 1, 60_000),
            ("linger", &self.linger, 0, HOUR),
            ("election", &self.election, 50, 60_000),
            ("beat", &self.beat, 5, 10_000),
            ("check_within", &self.check_within, 100, HOUR),
            ("grant", &self.grant, 100, HOUR),
        ];
        for (name, duration, least, most) in durations {
            let found = duration.get_ref().0;
            if !(Duration::from_millis(least)..=Duration::from_millis(most)).contains(&found) {
                let (least, most) = (Duration::from_millis(least), Duration::from_millis(most));
                return Err((duration.span(), format!("{name} = {found:?}: expected {least:?} to {most:?}")));
            }
        }
        if !(0.0..=0.1).contains(self.drift.get_ref()) {
            let what = format!("drift = {}: expected 0 to 0.1, as a part", self.drift.get_ref());
            return Err((self.drift.span(), what));
        }
        if let Some(rate) = &self.txns_per_s_per_weight {
            between("txns_per_s_per_weight", rate, 1e-3, 1e9)?;
        }
        between("most_message_bytes", &self.most_message_bytes, 64 * 1_024, 64 * 1_024 * 1_024)?;
        // The error is reported at the value that the file sets, where the file sets only one of the two.
        let fault = |first: &Spanned<Period>, other: std::ops::Range<usize>, what: String| {
            Err((if first.span().is_empty() { other } else { first.span() }, what))
        };
        let (acts, knows, slack, election, beat) =
            (ms(&self.acts), ms(&self.knows), ms(&self.slack), ms(&self.election), ms(&self.beat));
        if election < 4.0 * beat {
            let what = format!("election = {election} ms: at least four beats of {beat} ms");
            return fault(&self.election, self.beat.span(), what);
        }
        if acts < 3.0 * election {
            let what = format!(
                "acts = {acts} ms: at least three elections of {election} ms, or each costs all leases"
            );
            return fault(&self.acts, self.election.span(), what);
        }
        if knows < acts + slack {
            let what = format!("knows = {knows} ms: at least acts and slack, {} ms", acts + slack);
            return fault(&self.knows, self.acts.span(), what);
        }
        if slack > acts / 2.0 {
            let what = format!("slack = {slack} ms: at most half of acts, {acts} ms");
            return fault(&self.slack, self.acts.span(), what);
        }
        if ms(&self.check_within) < acts {
            let what = format!("check_within = {} ms: at least acts, {acts} ms", ms(&self.check_within));
            return fault(&self.check_within, self.acts.span(), what);
        }
        if ms(&self.grant) < 4.0 * beat {
            let what = format!("grant = {} ms: at least four beats of {beat} ms", ms(&self.grant));
            return fault(&self.grant, self.beat.span(), what);
        }
        Ok(())
    }

    /// The member that this daemon is, by the name from this file or from the controller's configuration.
    ///
    /// # Errors
    /// No member has the name, or it votes and has no folder; with the span of the value at fault.
    pub fn own(
        &self,
        name: &str,
        at: std::ops::Range<usize>,
    ) -> Result<&Member, (std::ops::Range<usize>, String)> {
        let mut members = self.member.iter().map(Spanned::get_ref);
        let Some(own) = members.find(|member| member.name.get_ref() == name) else {
            return Err((at, format!("no member is named {name}, as this steward is")));
        };
        if own.votes && self.folder.is_none() {
            return Err((own.name.span(), format!("{name} votes and has no folder for what has to last")));
        }
        Ok(own)
    }
}

fn check_name(what: &str, name: &Spanned<String>) -> Result<(), Unfit> {
    match (1..=MAX_NAME_BYTES).contains(&name.get_ref().len()) {
        true => Ok(()),
        false => Err((
            name.span(),
            format!("{what} of {} bytes: expected 1 to {MAX_NAME_BYTES}", name.get_ref().len()),
        )),
    }
}
