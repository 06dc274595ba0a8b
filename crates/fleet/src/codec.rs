//! Converts between protobuf messages and the message types of consensus and quota. A message with a missing or invalid
//! part is rejected as malformed; no default is assumed.

use std::sync::Arc;

use amberarch_accord as accord;
use amberarch_accord::{
    AskLease, Base, Boot, Digest, Disk, Ended, Ends, Entry, FleetId, Holds, Length, Lengths, Logged,
    MemberChange, Name, Place, Refusal, Revision, RevisionNo, Stage, StageNo, Term, Turned, Wanted, Wish,
};
use amberarch_shares as shares;

use crate::notes::HistoryTag;
use crate::wire::{self, envelope};

/// A message between members.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Accord(accord::Said),
    /// With the identification of its grants in histories.
    Shares(shares::Said, Option<HistoryTag>),
}

/// A malformed message; names the part that is missing or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is missing or invalid")]
pub struct Malformed(pub &'static str);

trait Needed<T> {
    fn need(self, what: &'static str) -> Result<T, Malformed>;
}

impl<T> Needed<T> for Option<T> {
    fn need(self, what: &'static str) -> Result<T, Malformed> {
        self.ok_or(Malformed(what))
    }
}

pub fn pack(said: Said) -> envelope::Said {
    match said {
        Said::Accord(said) => pack_accord(said),
        Said::Shares(said, noted) => pack_shares(said, noted),
    }
}

pub fn unpack(said: envelope::Said) -> Result<Said, Malformed> {
    use envelope::Said as Wire;
    let accord = match said {
        Wire::Seen(_) | Wire::Dealt(_) | Wire::Taken(_) => return unpack_shares(said),
        Wire::AskVote(ask) => accord::Said::AskVote {
            term: Term(ask.term),
            last: at(ask.last)?,
            trial: ask.trial,
            disk: Disk(ask.disk),
            lengths: Lengths(ask.lengths),
            told: ask.told,
        },
        Wire::Vote(vote) => accord::Said::Vote {
            term: Term(vote.term),
            given: vote.given,
            trial: vote.trial,
            disk: Disk(vote.disk),
        },
        Wire::Append(append) => accord::Said::Append {
            term: Term(append.term),
            round: append.round,
            after: at(append.after)?,
            entries: append.entries.into_iter().map(logged).collect::<Result<_, _>>()?,
            stands: Place(append.stands),
        },
        Wire::Appended(appended) => accord::Said::Appended {
            term: Term(appended.term),
            round: appended.round,
            agrees: match appended.agrees.need("place")? {
                wire::appended::Agrees::UpTo(place) => Ok(Place(place)),
                wire::appended::Agrees::TryAt(place) => Err(Place(place)),
            },
            disk: Disk(appended.disk),
        },
        Wire::Base(base) => accord::Said::Base {
            term: Term(base.term),
            round: base.round,
            at: at(base.at)?,
            base: Box::new(self::base(base.base.need("base")?)?),
        },
        Wire::AskLease(ask) => accord::Said::AskLease(lease_request(ask)?),
        Wire::Lease(lease) => accord::Said::Lease {
            asked: lease.asked,
            term: Term(lease.term),
            stage: stage(lease.stage.need("stage")?)?,
            length: Length { acts: time(lease.acts)?, knows: time(lease.knows)? },
            texts: lease.texts.into_iter().map(revision).collect::<Result<_, _>>()?,
            voters: names(lease.voters)?,
        },
        Wire::NotChair(not) => {
            accord::Said::NotChair { asked: not.asked, chair: not.chair.map(name).transpose()? }
        }
        Wire::Turned(turned) => accord::Said::Turned {
            asked: turned.asked,
            boot: Boot(turned.boot),
            why: match turned.why.need("reason")? {
                wire::turned::Why::NotMember(who) => Turned::NotMember { name: name(who)? },
                wire::turned::Why::NameTwice(who) => Turned::NameTwice { name: name(who)? },
                wire::turned::Why::OtherFleet(wire::OtherFleet { theirs, ours }) => {
                    Turned::OtherFleet { theirs: FleetId(theirs.into()), ours: FleetId(ours.into()) }
                }
                wire::turned::Why::OtherLengths(wire::OtherLengths { theirs, ours }) => {
                    Turned::OtherLengths { theirs: Lengths(theirs), ours: Lengths(ours) }
                }
            },
        },
        Wire::Heed(heed) => accord::Said::Heed { term: Term(heed.term), stage: StageNo(heed.stage) },
        Wire::LetGo(gone) => accord::Said::LetGo {
            term: Term(gone.term),
            last: lease_request(gone.last.need("last question")?)?,
        },
        Wire::LetGone(gone) => accord::Said::LetGone {
            asked: gone.asked,
            boot: Boot(gone.boot),
            term: Term(gone.term),
            taken: gone.taken,
        },
        Wire::Stand(stand) => accord::Said::Stand {
            term: Term(stand.term),
            leases: stand.leases.into_iter().map(ends).collect::<Result<_, _>>()?,
        },
        Wire::Wish(wish) => accord::Said::Wish {
            id: wish.id,
            boot: Boot(wish.boot),
            term: Term(wish.term),
            wish: match wish.wish.need("wish")? {
                wire::wish::Wish::Revision(wanted) => Wish::Revision(revision(wanted)?),
                wire::wish::Wish::Withdraw(no) => Wish::Withdraw(RevisionNo(no)),
                wire::wish::Wish::Members(members) => Wish::Members(wanted(members)?),
            },
        },
        Wire::Answer(answer) => accord::Said::Answer {
            id: answer.id,
            boot: Boot(answer.boot),
            outcome: match answer.outcome.need("outcome")? {
                wire::answer::Outcome::Stage(stage) => Ok(StageNo(stage)),
                wire::answer::Outcome::Refusal(why) => Err(refusal(why)?),
            },
        },
    };
    Ok(Said::Accord(accord))
}

fn pack_accord(said: accord::Said) -> envelope::Said {
    use envelope::Said as Wire;
    match said {
        accord::Said::AskVote { term, last, trial, disk, lengths, told } => Wire::AskVote(wire::AskVote {
            term: term.0,
            last: Some(put_at(last)),
            trial,
            disk: disk.0,
            lengths: lengths.0,
            told,
        }),
        accord::Said::Vote { term, given, trial, disk } => {
            Wire::Vote(wire::Vote { term: term.0, given, trial, disk: disk.0 })
        }
        accord::Said::Append { term, round, after, entries, stands } => Wire::Append(wire::Append {
            term: term.0,
            round,
            after: Some(put_at(after)),
            entries: entries.into_iter().map(put_logged).collect(),
            stands: stands.0,
        }),
        accord::Said::Appended { term, round, agrees, disk } => Wire::Appended(wire::Appended {
            term: term.0,
            round,
            agrees: Some(match agrees {
                Ok(place) => wire::appended::Agrees::UpTo(place.0),
                Err(place) => wire::appended::Agrees::TryAt(place.0),
            }),
            disk: disk.0,
        }),
        accord::Said::Base { term, round, at, base } => Wire::Base(wire::AtBase {
            term: term.0,
            round,
            at: Some(put_at(at)),
            base: Some(put_base(*base)),
        }),
        accord::Said::AskLease(ask) => Wire::AskLease(put_lease_request(ask)),
        accord::Said::Lease { asked, term, stage, length, texts, voters } => Wire::Lease(wire::Lease {
            asked,
            term: term.0,
            stage: Some(put_stage(stage)),
            acts: length.acts,
            knows: length.knows,
            texts: texts.into_iter().map(put_revision).collect(),
            voters: put_names(voters),
        }),
        accord::Said::NotChair { asked, chair } => {
            Wire::NotChair(wire::NotChair { asked, chair: chair.map(put_name) })
        }
        accord::Said::Turned { asked, boot, why } => Wire::Turned(wire::Turned {
            asked,
            boot: boot.0,
            why: Some(match why {
                Turned::NotMember { name } => wire::turned::Why::NotMember(put_name(name)),
                Turned::NameTwice { name } => wire::turned::Why::NameTwice(put_name(name)),
                Turned::OtherFleet { theirs, ours } => wire::turned::Why::OtherFleet(wire::OtherFleet {
                    theirs: theirs.0.to_string(),
                    ours: ours.0.to_string(),
                }),
                Turned::OtherLengths { theirs, ours } => {
                    wire::turned::Why::OtherLengths(wire::OtherLengths { theirs: theirs.0, ours: ours.0 })
                }
            }),
        }),
        accord::Said::Heed { term, stage } => Wire::Heed(wire::Heed { term: term.0, stage: stage.0 }),
        accord::Said::LetGo { term, last } => {
            Wire::LetGo(wire::LetGo { term: term.0, last: Some(put_lease_request(last)) })
        }
        accord::Said::LetGone { asked, boot, term, taken } => {
            Wire::LetGone(wire::LetGone { asked, boot: boot.0, term: term.0, taken })
        }
        accord::Said::Stand { term, leases } => {
            Wire::Stand(wire::Stand { term: term.0, leases: leases.into_iter().map(put_ends).collect() })
        }
        accord::Said::Wish { id, boot, term, wish } => Wire::Wish(wire::Wish {
            id,
            boot: boot.0,
            term: term.0,
            wish: Some(match wish {
                Wish::Revision(revision) => wire::wish::Wish::Revision(put_revision(revision)),
                Wish::Withdraw(no) => wire::wish::Wish::Withdraw(no.0),
                Wish::Members(wanted) => wire::wish::Wish::Members(put_wanted(wanted)),
            }),
        }),
        accord::Said::Answer { id, boot, outcome } => Wire::Answer(wire::Answer {
            id,
            boot: boot.0,
            outcome: Some(match outcome {
                Ok(stage) => wire::answer::Outcome::Stage(stage.0),
                Err(why) => wire::answer::Outcome::Refusal(put_refusal(why)),
            }),
        }),
    }
}

fn lease_request(ask: wire::AskLease) -> Result<AskLease, Malformed> {
    Ok(AskLease {
        asked: ask.asked,
        boot: Boot(ask.boot),
        disk: ask.disk.map(Disk),
        stage: StageNo(ask.stage),
        settled: ask.settled,
        verdict: ask.verdict.map(verdict).transpose()?,
        has: ask.has.into_iter().map(text).collect::<Result<_, _>>()?,
        leased: time(ask.leased)?,
        barred: ask.barred,
        lengths: Lengths(ask.lengths),
    })
}

fn put_lease_request(ask: AskLease) -> wire::AskLease {
    wire::AskLease {
        asked: ask.asked,
        boot: ask.boot.0,
        disk: ask.disk.map(|disk| disk.0),
        stage: ask.stage.0,
        settled: ask.settled,
        verdict: ask.verdict.map(|(no, digest, verdict)| wire::Verdict {
            revision: no.0,
            digest: digest.0.to_vec(),
            unfit: verdict.err().map(|why| why.to_string()),
        }),
        has: ask.has.into_iter().map(put_text).collect(),
        leased: ask.leased,
        barred: ask.barred,
        lengths: ask.lengths.0,
    }
}

/// Negative times are valid: the lease expired that long ago.
fn ends(ends: wire::Ends) -> Result<Ends, Malformed> {
    let good = ends.acts.is_finite() && ends.knows.is_finite();
    match good {
        true => Ok(Ends {
            name: name(ends.name)?,
            boot: ends.boot.map(Boot),
            acts: ends.acts,
            knows: ends.knows,
            gone: ends.gone,
        }),
        false => Err(Malformed("end of a lease")),
    }
}

fn put_ends(ends: Ends) -> wire::Ends {
    let Ends { name, boot, acts, knows, gone } = ends;
    wire::Ends { name: put_name(name), boot: boot.map(|boot| boot.0), acts, knows, gone }
}

/// Longest valid name, bytes, as in the operator's file. Names are stored in maps and logs, so longer ones are
/// rejected.
const MAX_NAME_BYTES: usize = 128;

fn name(name: String) -> Result<Name, Malformed> {
    match (1..=MAX_NAME_BYTES).contains(&name.len()) {
        true => Ok(Name(name.into())),
        false => Err(Malformed("name")),
    }
}

fn names(all: Vec<String>) -> Result<Vec<Name>, Malformed> {
    all.into_iter().map(name).collect()
}

fn put_names(all: Vec<Name>) -> Vec<String> {
    all.into_iter().map(put_name).collect()
}

fn wanted(wanted: wire::Wanted) -> Result<Wanted, Malformed> {
    Ok(Wanted { voters: names(wanted.voters)?, followers: names(wanted.followers)? })
}

fn put_wanted(Wanted { voters, followers }: Wanted) -> wire::Wanted {
    wire::Wanted { voters: put_names(voters), followers: put_names(followers) }
}

fn text(text: wire::Text) -> Result<(RevisionNo, Digest), Malformed> {
    Ok((RevisionNo(text.revision), digest(text.digest)?))
}

fn put_text((no, digest): (RevisionNo, Digest)) -> wire::Text {
    wire::Text { revision: no.0, digest: digest.0.to_vec() }
}

fn put_name(name: Name) -> String {
    name.0.to_string()
}

/// Checks a duration: finite and not negative. NaN or infinity must not reach a comparison.
fn time(ms: f64) -> Result<f64, Malformed> {
    match ms.is_finite() && ms >= 0.0 {
        true => Ok(ms),
        false => Err(Malformed("time")),
    }
}

fn rate(per_s: f64) -> Result<f64, Malformed> {
    time(per_s).map_err(|_| Malformed("rate"))
}

fn at(at: Option<wire::At>) -> Result<(Term, Place), Malformed> {
    let at = at.need("place")?;
    Ok((Term(at.term), Place(at.place)))
}

fn put_at((term, place): (Term, Place)) -> wire::At {
    wire::At { term: term.0, place: place.0 }
}

fn digest(bytes: Vec<u8>) -> Result<Digest, Malformed> {
    bytes.try_into().map(Digest).map_err(|_| Malformed("digest"))
}

fn revision(wire: wire::Revision) -> Result<Revision, Malformed> {
    let (no, digest) = (RevisionNo(wire.no), digest(wire.digest)?);
    // Text altered in transit would be another policy under the same number.
    match Digest::of(&wire.text) == digest {
        true => Ok(Revision { no, digest, text: wire.text.into() }),
        false => Err(Malformed("digest of a revision's text")),
    }
}

fn put_revision(revision: Revision) -> wire::Revision {
    let Revision { no, digest, text } = revision;
    wire::Revision { no: no.0, digest: digest.0.to_vec(), text: text.to_string() }
}

/// A revision's number and digest, and whether the member can use it.
type Verdict = (RevisionNo, Digest, Result<(), Arc<str>>);

fn verdict(verdict: wire::Verdict) -> Result<Verdict, Malformed> {
    let fit = verdict.unfit.map_or(Ok(()), |why| Err(why.into()));
    Ok((RevisionNo(verdict.revision), digest(verdict.digest)?, fit))
}

fn stage(stage: wire::Stage) -> Result<Stage, Malformed> {
    let holds = match stage.holds.need("holds")? {
        wire::stage::Holds::Nothing(_) => Holds::Nothing,
        wire::stage::Holds::Alone(no) => Holds::Alone(RevisionNo(no)),
        wire::stage::Holds::Joint(wire::Joint { old, new }) => {
            Holds::Joint { old: old.map(RevisionNo), new: RevisionNo(new) }
        }
    };
    Ok(Stage { no: StageNo(stage.no), holds, staged: stage.staged.map(RevisionNo) })
}

fn put_stage(stage: Stage) -> wire::Stage {
    let holds = match stage.holds {
        Holds::Nothing => wire::stage::Holds::Nothing(wire::Nothing {}),
        Holds::Alone(no) => wire::stage::Holds::Alone(no.0),
        Holds::Joint { old, new } => {
            wire::stage::Holds::Joint(wire::Joint { old: old.map(|no| no.0), new: new.0 })
        }
    };
    wire::Stage { no: stage.no.0, holds: Some(holds), staged: stage.staged.map(|no| no.0) }
}

fn refusal(refusal: wire::Refusal) -> Result<Refusal, Malformed> {
    use wire::refusal::Why;
    Ok(match refusal.why.need("refusal")? {
        Why::NotAbove(wire::NotAbove { asked, known }) => {
            Refusal::NotAbove { asked: RevisionNo(asked), known: RevisionNo(known) }
        }
        Why::Taken(taken) => {
            Refusal::Taken { winner: RevisionNo(taken.winner), digest: digest(taken.digest)? }
        }
        Why::Unfit(unfit) => Refusal::Unfit { by: name(unfit.by)?, why: unfit.why.into() },
        Why::Unchecked(missing) => Refusal::Unchecked { missing: missing.into() },
        Why::Unsure(_) => Refusal::Unsure,
        Why::Withdrawn(_) => Refusal::Withdrawn,
        Why::Past(no) => Refusal::Past { no: RevisionNo(no) },
        Why::Spoilt(no) => Refusal::Spoilt { no: RevisionNo(no) },
        Why::Huge(wire::Huge { revision, bytes, most }) => {
            Refusal::Huge { no: RevisionNo(revision), bytes: bytes as usize, most: most as usize }
        }
        Why::Misnamed(why) => Refusal::Misnamed { why: why.into() },
        Why::Outside(who) => Refusal::Outside { name: name(who)? },
    })
}

fn put_refusal(refusal: Refusal) -> wire::Refusal {
    use wire::refusal::Why;
    let why = match refusal {
        Refusal::NotAbove { asked, known } => {
            Why::NotAbove(wire::NotAbove { asked: asked.0, known: known.0 })
        }
        Refusal::Taken { winner, digest } => {
            Why::Taken(wire::UnderWay { winner: winner.0, digest: digest.0.to_vec() })
        }
        Refusal::Unfit { by, why } => Why::Unfit(wire::Unfit { by: put_name(by), why: why.to_string() }),
        Refusal::Unchecked { missing } => Why::Unchecked(missing.to_string()),
        Refusal::Unsure => Why::Unsure(wire::Nothing {}),
        Refusal::Withdrawn => Why::Withdrawn(wire::Nothing {}),
        Refusal::Past { no } => Why::Past(no.0),
        Refusal::Spoilt { no } => Why::Spoilt(no.0),
        Refusal::Huge { no, bytes, most } => {
            Why::Huge(wire::Huge { revision: no.0, bytes: bytes as u64, most: most as u64 })
        }
        Refusal::Misnamed { why } => Why::Misnamed(why.to_string()),
        Refusal::Outside { name } => Why::Outside(put_name(name)),
    };
    wire::Refusal { why: Some(why) }
}

fn logged(logged: wire::Logged) -> Result<Logged, Malformed> {
    use wire::logged::Entry as Wire;
    let entry = match logged.entry.need("entry")? {
        Wire::Begun(_) => Entry::Begun,
        Wire::Proposed(proposed) => Entry::Proposed {
            revision: revision(proposed.revision.need("revision")?)?,
            by: name(proposed.by)?,
        },
        Wire::Joint(no) => Entry::Joint(RevisionNo(no)),
        Wire::InForce(no) => Entry::InForce(RevisionNo(no)),
        Wire::Withdrawn(gone) => {
            Entry::Withdrawn { no: RevisionNo(gone.no), why: refusal(gone.why.need("reason")?)? }
        }
        Wire::Follows(who) => Entry::Members(MemberChange::Follows { name: name(who)? }),
        Wire::Votes(votes) => {
            Entry::Members(MemberChange::Votes { name: name(votes.name)?, disk: Disk(votes.disk) })
        }
        Wire::Leaves(who) => Entry::Members(MemberChange::Leaves { name: name(who)? }),
        Wire::Founded(members) => {
            let Wanted { voters, followers } = wanted(members)?;
            Entry::Founded { voters, followers }
        }
        Wire::Wanted(members) => Entry::Wanted(wanted(members)?),
    };
    Ok(Logged { term: Term(logged.term), entry })
}

fn put_logged(logged: Logged) -> wire::Logged {
    use wire::logged::Entry as Wire;
    let entry = match logged.entry {
        Entry::Begun => Wire::Begun(wire::Nothing {}),
        Entry::Proposed { revision, by } => {
            Wire::Proposed(wire::Proposed { revision: Some(put_revision(revision)), by: put_name(by) })
        }
        Entry::Joint(no) => Wire::Joint(no.0),
        Entry::InForce(no) => Wire::InForce(no.0),
        Entry::Withdrawn { no, why } => {
            Wire::Withdrawn(wire::Withdrawn { no: no.0, why: Some(put_refusal(why)) })
        }
        Entry::Members(MemberChange::Follows { name }) => Wire::Follows(put_name(name)),
        Entry::Members(MemberChange::Votes { name, disk }) => {
            Wire::Votes(wire::Votes { name: put_name(name), disk: disk.0 })
        }
        Entry::Members(MemberChange::Leaves { name }) => Wire::Leaves(put_name(name)),
        Entry::Founded { voters, followers } => Wire::Founded(put_wanted(Wanted { voters, followers })),
        Entry::Wanted(wanted) => Wire::Wanted(put_wanted(wanted)),
    };
    wire::Logged { term: logged.term.0, entry: Some(entry) }
}

fn base(base: wire::Base) -> Result<Base, Malformed> {
    Ok(Base {
        stage: stage(base.stage.need("stage")?)?,
        known: RevisionNo(base.known),
        texts: base.texts.into_iter().map(revision).collect::<Result<_, _>>()?,
        voters: base
            .voters
            .into_iter()
            .map(|voter| Ok((name(voter.name)?, voter.disk.map(Disk))))
            .collect::<Result<_, _>>()?,
        followers: names(base.followers)?,
        wanted: base.wanted.map(wanted).transpose()?,
        proposed: StageNo(base.proposed),
        ended: base.ended.into_iter().map(ended_revision).collect::<Result<_, _>>()?,
    })
}

fn ended_revision(ended_revision: wire::Was) -> Result<Ended, Malformed> {
    Ok(Ended {
        no: RevisionNo(ended_revision.revision),
        digest: digest(ended_revision.digest)?,
        outcome: match ended_revision.outcome.need("outcome")? {
            wire::was::Outcome::Stage(stage) => Ok(StageNo(stage)),
            wire::was::Outcome::Refusal(why) => Err(refusal(why)?),
        },
    })
}

fn put_was(ended: Ended) -> wire::Was {
    wire::Was {
        revision: ended.no.0,
        digest: ended.digest.0.to_vec(),
        outcome: Some(match ended.outcome {
            Ok(stage) => wire::was::Outcome::Stage(stage.0),
            Err(why) => wire::was::Outcome::Refusal(put_refusal(why)),
        }),
    }
}

fn put_base(base: Base) -> wire::Base {
    let voter = |(name, disk): (Name, Option<Disk>)| wire::Voter {
        name: put_name(name),
        disk: disk.map(|disk| disk.0),
    };
    wire::Base {
        stage: Some(put_stage(base.stage)),
        known: base.known.0,
        texts: base.texts.into_iter().map(put_revision).collect(),
        voters: base.voters.into_iter().map(voter).collect(),
        followers: put_names(base.followers),
        wanted: base.wanted.map(put_wanted),
        proposed: base.proposed.0,
        ended: base.ended.into_iter().map(put_was).collect(),
    }
}

fn unpack_shares(said: envelope::Said) -> Result<Said, Malformed> {
    use envelope::Said as Wire;
    let mut noted = None;
    let said = match said {
        Wire::Seen(seen) => shares::Said::Seen(shares::Seen {
            round: seen.round,
            term: seen.term,
            plan: seen.plan,
            lived: time(seen.lived)?,
            demand: seen.demand.into_iter().map(grant).collect::<Result<_, _>>()?,
            capacity: seen
                .capacity
                .into_iter()
                .map(|capacity| Ok((zone(capacity.zone)?, rate(capacity.per_s)?)))
                .collect::<Result<_, _>>()?,
            held: seen
                .held
                .into_iter()
                .map(|held| Ok((grant(held.grant.need("grant")?)?, time(held.lasts)?)))
                .collect::<Result<_, _>>()?,
        }),
        Wire::Dealt(dealt) => {
            noted = dealt.noted.map(self::noted).transpose()?;
            shares::Said::Dealt {
                round: dealt.round,
                term: dealt.term,
                plan: dealt.plan,
                grants: dealt.grants.into_iter().map(grant).collect::<Result<_, _>>()?,
                lasts: time(dealt.lasts)?,
            }
        }
        Wire::Taken(taken) => shares::Said::Taken { round: taken.round, term: taken.term },
        _ => return Err(Malformed("kind")),
    };
    Ok(Said::Shares(said, noted))
}

fn noted(noted: wire::Noted) -> Result<HistoryTag, Malformed> {
    let back = noted.back.into_iter().map(|back| Ok((shares::Tenant(back.tenant), zone(back.zone)?)));
    Ok(HistoryTag { until: noted.until, back: back.collect::<Result<_, _>>()? })
}

fn put_noted(HistoryTag { until, back }: HistoryTag) -> wire::Noted {
    let back = back.into_iter().map(|(tenant, zone)| wire::Back { tenant: tenant.0, zone: zone.0.into() });
    wire::Noted { until, back: back.collect() }
}

fn pack_shares(said: shares::Said, noted: Option<HistoryTag>) -> envelope::Said {
    use envelope::Said as Wire;
    match said {
        shares::Said::Seen(seen) => Wire::Seen(wire::Seen {
            round: seen.round,
            term: seen.term,
            plan: seen.plan,
            lived: seen.lived,
            demand: seen.demand.into_iter().map(put_grant).collect(),
            capacity: seen
                .capacity
                .into_iter()
                .map(|(zone, per_s)| wire::Capacity { zone: u32::from(zone.0), per_s })
                .collect(),
            held: seen
                .held
                .into_iter()
                .map(|(grant, lasts)| wire::Held { grant: Some(put_grant(grant)), lasts })
                .collect(),
        }),
        shares::Said::Dealt { round, term, plan, grants, lasts } => Wire::Dealt(wire::Dealt {
            round,
            term,
            plan,
            grants: grants.into_iter().map(put_grant).collect(),
            lasts,
            noted: noted.map(put_noted),
        }),
        shares::Said::Taken { round, term } => Wire::Taken(wire::Taken { round, term }),
    }
}

fn zone(zone: u32) -> Result<shares::Zone, Malformed> {
    u16::try_from(zone).map(shares::Zone).map_err(|_| Malformed("zone"))
}

fn grant(grant: wire::Grant) -> Result<shares::Grant, Malformed> {
    let (tenant, zone) = (shares::Tenant(grant.tenant), zone(grant.zone)?);
    Ok(shares::Grant { tenant, zone, per_s: rate(grant.per_s)? })
}

fn put_grant(grant: shares::Grant) -> wire::Grant {
    let shares::Grant { tenant, zone, per_s } = grant;
    wire::Grant { tenant: tenant.0, zone: u32::from(zone.0), per_s }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn last() -> AskLease {
        AskLease {
            asked: 7,
            boot: Boot(8),
            disk: Some(Disk(9)),
            stage: StageNo(3),
            settled: true,
            verdict: Some((RevisionNo(2), Digest::of("two"), Err("it can't".into()))),
            barred: false,
            has: vec![(RevisionNo(1), Digest::of("one"))],
            leased: 1_234.5,
            lengths: Lengths(6),
        }
    }

    /// Guards against messages of a member that is shutting down which are decoded to other values than were encoded.
    #[test]
    fn messages_of_a_member_shutting_down_survive_encoding_and_decoding() {
        let ends = |boot| Ends { name: Name::from("a"), boot, acts: 12.5, knows: -3.0, gone: true };
        let all = [
            accord::Said::LetGo { term: Term(4), last: last() },
            accord::Said::LetGone { asked: 7, boot: Boot(8), term: Term(4), taken: true },
            accord::Said::Stand { term: Term(4), leases: vec![ends(None), ends(Some(Boot(0)))] },
            accord::Said::AskVote {
                term: Term(5),
                last: (Term(4), Place(2)),
                trial: false,
                disk: Disk(9),
                lengths: Lengths(6),
                told: true,
            },
        ];
        for said in all.map(Said::Accord) {
            assert_eq!(unpack(pack(said.clone())), Ok(said));
        }
    }

    /// Guards against a lease that counts as expired because of a time that is not a number.
    #[test]
    fn a_lease_end_that_is_not_finite_is_rejected() {
        for (acts, knows) in [(f64::NAN, 0.0), (0.0, f64::NEG_INFINITY)] {
            let leases = vec![Ends { name: Name::from("a"), boot: None, acts, knows, gone: false }];
            let said = Said::Accord(accord::Said::Stand { term: Term(4), leases });
            assert_eq!(unpack(pack(said)), Err(Malformed("end of a lease")));
        }
        let nothing = envelope::Said::LetGo(wire::LetGo { term: 1, last: None });
        assert_eq!(unpack(nothing), Err(Malformed("last question")));
    }
}
