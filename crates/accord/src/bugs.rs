//! Seeded faults, one line of code each, that the test explorer has to find. They can be enabled only with
//! the feature `seeded-bugs`.

/// A fault that can be seeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Bug {
    /// A voter grants its vote to every candidate that asks.
    VotesTwice,
    /// A leader commits an entry of an earlier term as soon as a majority has it.
    CommitsEarlierTermByCount,
    /// A controller goes on acting after its lease has ended.
    ActsAfterLease,
    /// A leader puts a revision in force while some controllers may still act on the old one.
    WidensBeforeAllNarrowed,
    /// A leader grants a lease without a round of its voters that confirms its leadership.
    GrantsWithoutMajority,
    /// A new leader ignores the leases that earlier leaders granted.
    ForgetsEarlierLeases,
    /// A controller states that it issues no orders any more, and goes on under the lease that it had.
    LetsGoUnfenced,
    /// A leader takes the release of one run for the end of all leases of its member.
    LetGoReleasesOthers,
    /// Where all voters of the configuration acknowledge, voters count too that lost the disk on which they
    /// had voted or stored entries.
    CountsLostDisks,
}
