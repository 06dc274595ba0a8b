//! The leader's record of the grants that may still be in force, by its own clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Holder, Plan};

/// Duration of grants, and the bounds on clock drift and delay that they have to allow for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lengths {
    /// Duration of a grant, ms, by the holder's clock, from the time it sent the report that the grant answers.
    pub grant: f64,
    /// The fraction by which one clock may run faster than another.
    pub drift: f64,
    /// The longest time from the end of a grant until the last proxy stops acting on it, ms: the controller's delay in
    /// handling the expiry, and the delivery of orders.
    pub slack: f64,
}

/// Invalid [`Lengths`].
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum Wrong {
    #[error("a grant of {0} ms expires before it is renewed; expected {MIN_GRANT_MS} ms or more")]
    Short(f64),
    #[error("clock drift of {0}: expected 0 to less than 1")]
    Drift(f64),
    #[error("a slack of {0} ms: expected 0 or more")]
    Slack(f64),
}

/// Five report intervals, so that four reports may be lost before a grant expires.
const MIN_GRANT_MS: f64 = 5.0 * crate::held::REPORT_INTERVAL_MS;

impl Wrong {
    /// What an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            Wrong::Short(_) => "lengthen the grant duration",
            Wrong::Drift(_) => "set the fraction by which two machines' clock rates may differ, such as 0.01",
            Wrong::Slack(_) => "set the longest time that orders take to reach the proxies",
        }
    }
}

impl Lengths {
    /// # Errors
    /// A value that is out of range.
    pub fn new(grant: f64, drift: f64, slack: f64) -> Result<Lengths, Wrong> {
        match () {
            () if !grant.is_finite() || grant < MIN_GRANT_MS => Err(Wrong::Short(grant)),
            () if !(0.0..1.0).contains(&drift) => Err(Wrong::Drift(drift)),
            () if !slack.is_finite() || slack < 0.0 => Err(Wrong::Slack(slack)),
            () => Ok(Lengths { grant, drift, slack }),
        }
    }

    /// The longest time, by any clock, that a grant may be in force after it was issued, ms. The grant of a silent
    /// controller counts for that long.
    pub fn longest(&self) -> f64 {
        self.with_margins(self.grant)
    }
    pub(crate) fn with_margins(&self, rest: f64) -> f64 {
        rest * (1.0 + self.drift) + self.slack
    }
}

/// The grants of one answer by the leader, or those that a holder reported to hold.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct GrantSet {
    pub round: u64,
    pub until: f64,
    /// By claim, in order: the granted rate above the floor.
    pub excesses: Vec<(u32, f64)>,
}

/// The grants of one holder that may be in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Account {
    pub sets: Vec<GrantSet>,
    /// By claim: the highest rate above the floor that may be in force.
    pub max_in_force: Vec<(u32, f64)>,
}

/// The number drawn at the start of the process that sent the report.
pub(crate) fn run_id(round: u64) -> u32 {
    (round >> 32) as u32
}

impl Account {
    /// Recomputes `max_in_force`. A process uses one of its sets at a time; grants that an earlier process left with proxies
    /// may be used in addition.
    fn recompute(&mut self) {
        let runs: BTreeSet<u32> = self.sets.iter().map(|set| run_id(set.round)).collect();
        let mut runs = runs.into_iter().map(|run_id| self.max_of_run(run_id));
        let first = runs.next().unwrap_or_default();
        self.max_in_force = runs.fold(first, |sums, excesses| merged(&sums, &excesses, |a, b| a + b));
    }

    pub fn has_grants(&self) -> bool {
        self.sets.iter().any(|set| !set.excesses.is_empty())
    }

    /// By claim, the highest rate above the floor that this process may use.
    pub fn max_of_run(&self, of: u32) -> Vec<(u32, f64)> {
        let mut mine = self.sets.iter().filter(|set| run_id(set.round) == of);
        let first = mine.next().map_or(vec![], |set| set.excesses.clone());
        mine.fold(first, |most, set| merged(&most, &set.excesses, f64::max))
    }
}

/// Merges two lists sorted by claim; values of claims in both lists are combined by `both`.
fn merged(a: &[(u32, f64)], b: &[(u32, f64)], both: impl Fn(f64, f64) -> f64) -> Vec<(u32, f64)> {
    let mut merged = Vec::with_capacity(a.len().max(b.len()));
    let mut b = b.iter().copied().peekable();
    for &(claim, excess) in a {
        while let Some(other) = b.next_if(|other| other.0 < claim) {
            merged.push(other);
        }
        let other = b.next_if(|other| other.0 == claim);
        merged.push((claim, other.map_or(excess, |other| both(excess, other.1))));
    }
    merged.extend(b);
    merged
}

/// Grants of all holders that may be in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger {
    pub accounts: BTreeMap<Holder, Account>,
    /// No grant expires before this time.
    next_expiry: f64,
}

impl Ledger {
    pub fn new() -> Ledger {
        Ledger { accounts: BTreeMap::new(), next_expiry: f64::INFINITY }
    }

    pub fn add(&mut self, holder: Holder, set: GrantSet) {
        self.next_expiry = self.next_expiry.min(set.until);
        let account = self.accounts.entry(holder).or_default();
        // With sets of a single process, another one can only raise the maximum.
        let same = |old: &GrantSet| run_id(old.round) == run_id(set.round);
        if account.sets.iter().all(same) {
            account.max_in_force = merged(&account.max_in_force, &set.excesses, f64::max);
            account.sets.push(set);
        } else {
            account.sets.push(set);
            account.recompute();
        }
    }

    /// Drops the holder's sets for which `keep` is false.
    pub fn retain(&mut self, holder: Holder, keep: impl Fn(&GrantSet) -> bool) {
        let Some(account) = self.accounts.get_mut(&holder) else { return };
        let before = account.sets.len();
        account.sets.retain(keep);
        if account.sets.len() != before {
            account.recompute();
        }
    }

    pub fn expire(&mut self, now: f64) {
        if now < self.next_expiry {
            return;
        }
        let holders: Vec<Holder> = self.accounts.keys().copied().collect();
        holders.into_iter().for_each(|holder| self.retain(holder, |set| set.until > now));
        self.accounts.retain(|_, account| !account.sets.is_empty());
        self.next_expiry = self.earliest_expiry();
    }

    /// When the next set of grants expires.
    pub fn earliest_expiry(&self) -> f64 {
        let sets = self.accounts.values().flat_map(|account| &account.sets);
        sets.map(|set| set.until).fold(f64::INFINITY, f64::min)
    }

    /// By zone set: the highest rate above the floors that may be in force.
    pub fn in_force(&self, plan: &Plan) -> Vec<f64> {
        let mut in_force = vec![0.0; plan.zone_sets.len()];
        for account in self.accounts.values() {
            for (claim, excess) in &account.max_in_force {
                in_force[plan.claims[*claim as usize].zone_set as usize] += excess;
            }
        }
        in_force
    }
}
