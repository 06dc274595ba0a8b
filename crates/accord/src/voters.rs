//! The set of voters, and the quorum rule.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Base, Disk, Entry, MemberChange, Name};

/// The voters according to the whole log: as in Raft, a membership change counts from the moment it is
/// appended. Each voter has the disk whose acknowledgements count; a voter on another disk is treated as a
/// different voter that the fleet knows nothing about.
#[derive(Clone, Debug, Default, PartialEq, Hash)]
pub(crate) struct Voters {
    disks: BTreeMap<Name, Option<Disk>>,
    /// Disks of voters that had no known disk, from entries that are appended and may not be committed yet.
    pending_disks: BTreeMap<Name, Disk>,
    /// All voters of the committed configuration and of every configuration appended after it.
    everyone: BTreeSet<Name>,
}

impl Voters {
    /// Computes the voters from the committed state and the entries after it.
    ///
    /// A new disk of an existing voter counts only once the change is committed: a quorum must have been
    /// reached without it, because on the lost disk the voter may have voted for a leader that this log knows
    /// nothing of. A member that did not vote before has acknowledged nothing.
    pub fn new<'a>(committed: &Base, after: impl Iterator<Item = &'a Entry>) -> Voters {
        let mut members = committed.membership_only();
        let mut everyone: BTreeSet<Name> = BTreeSet::new();
        let mut pending_disks = BTreeMap::new();
        let mut join = |members: &Base| everyone.extend(members.voters.iter().map(|(name, _)| name.clone()));
        join(&members);
        for entry in after {
            match entry {
                Entry::Founded { .. } => drop(members.apply(Default::default(), entry)),
                Entry::Members(MemberChange::Votes { name, disk }) if members.is_voter(name) => {
                    pending_disks.entry(name.clone()).or_insert(*disk);
                }
                Entry::Members(change) => members.apply_member_change(change),
                _ => continue,
            }
            join(&members);
        }
        Voters { disks: members.voters.into_iter().collect(), pending_disks, everyone }
    }

    pub fn contains(&self, name: &Name) -> bool {
        self.disks.contains_key(name)
    }

    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.disks.keys()
    }

    pub fn everyone(&self) -> impl Iterator<Item = &Name> {
        self.everyone.iter()
    }

    /// Whether a quorum has confirmed: a majority of voters on their known disks. `confirmed_on` gives the
    /// disk on which a voter has confirmed. A voter on another disk has lost what it acknowledged, and its
    /// confirmation does not count, however many others agree: a member with an older set of voters can't
    /// know how many others have stored something without it, and lost it.
    ///
    /// While a fleet is founded the disks of some voters are not known yet. Then every single voter has to
    /// confirm, and more than half of them must not have lost, as far as that can be known, what they
    /// acknowledged.
    pub fn has_quorum(&self, confirmed_on: impl Fn(&Name) -> Option<Disk>) -> bool {
        let majority = |count: usize| 2 * count > self.disks.len();
        let proven =
            |(name, known): &(&Name, &Option<Disk>)| known.is_some() && confirmed_on(name) == **known;
        if majority(self.disks.iter().filter(proven).count()) {
            return true;
        }
        let kept = |(name, known): &(&Name, &Option<Disk>)| {
            let disk = known.as_ref().or_else(|| self.pending_disks.get(*name));
            disk.is_none_or(|disk| confirmed_on(name) == Some(*disk))
        };
        self.disks.values().any(Option::is_none)
            && majority(self.disks.iter().filter(kept).count())
            && self.is_unanimous(confirmed_on)
    }

    /// Whether every voter has confirmed, on whatever disk.
    pub fn is_unanimous(&self, confirmed_on: impl Fn(&Name) -> Option<Disk>) -> bool {
        !self.disks.is_empty() && self.everyone.iter().all(|name| confirmed_on(name).is_some())
    }
}

impl Base {
    fn membership_only(&self) -> Base {
        Base { voters: self.voters.clone(), followers: self.followers.clone(), ..Base::default() }
    }
}
