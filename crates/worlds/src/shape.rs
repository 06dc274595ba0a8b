//! Size of a simulated fleet, its time settings, and the behaviour of its network.

use amberarch_accord::{Boot, Disk, Facts, FleetId, Length, Name};

/// All times in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    pub voters: usize,
    pub followers: usize,
    pub length: Length,
    pub drift: f64,
    pub slack: f64,
    pub linger: f64,
    pub election: f64,
    pub beat: f64,
    pub check_within: f64,
    /// Maximum time in which a controller checks a revision.
    pub checks: f64,
    /// Time until proxies have confirmed new orders, or are bound by another controller; less than `linger`.
    pub transit: f64,
    /// Clocks run faster or slower than true time by up to this fraction. Two clocks differ by slightly more than twice
    /// that, which has to be less than `drift`.
    pub wander: f64,
    pub net: Net,
}

/// Random treatment of messages; `lost` and `twice` are probabilities.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Net {
    /// Minimum and maximum latency, ms; messages may arrive out of order.
    pub delay: (f64, f64),
    pub lost: f64,
    pub twice: f64,
}

impl Net {
    pub const CALM: Net = Net { delay: (0.5, 1.5), lost: 0.0, twice: 0.0 };
}

impl Shape {
    /// The default times of the settings, with leases slightly shorter than allowed.
    pub fn of(voters: usize, followers: usize) -> Shape {
        Shape {
            voters,
            followers,
            length: Length { acts: 3_000.0, knows: 6_000.0 },
            drift: 0.02,
            slack: 50.0,
            linger: 1_000.0,
            election: 500.0,
            beat: 100.0,
            check_within: 5_000.0,
            checks: 20.0,
            transit: 50.0,
            wander: 0.009,
            net: Net::CALM,
        }
    }

    /// Sizes that vary with the seed, and times from the defaults down to the shortest that still work.
    pub fn by_turns(seed: u64) -> Shape {
        let mut shape = match seed % 4 {
            0 => Shape::of(3, 0),
            1 => Shape::of(5, 2),
            2 => Shape::of(3, 3),
            _ => Shape::of(1 + (seed / 4 % 4) as usize, 1),
        };
        match seed / 16 % 4 {
            0 => shape.length.knows = shape.length.acts,
            1 => (shape.linger, shape.slack) = (shape.transit, 1.0),
            2 => (shape.length.acts, shape.length.knows) = (2.6 * shape.election, 12_000.0),
            _ => {}
        }
        shape
    }

    pub fn members(&self) -> usize {
        self.voters + self.followers
    }

    /// The member's name: `s0`, `s1` and so on; voters come first.
    pub fn name(&self, member: usize) -> Name {
        Name::from(format!("s{member}").as_str())
    }

    pub(crate) fn facts(&self, member: usize, boot: u64, disk: Option<Disk>, seed: u64) -> Facts {
        Facts {
            fleet: FleetId("virtual".into()),
            me: self.name(member),
            boot: Boot(boot),
            disk,
            voters: (0..self.voters).map(|voter| self.name(voter)).collect(),
            followers: (self.voters..self.members()).map(|follower| self.name(follower)).collect(),
            length: self.length,
            drift: self.drift,
            slack: self.slack,
            linger: self.linger,
            election: self.election,
            beat: self.beat,
            check_within: self.check_within,
            seed,
        }
    }
}
