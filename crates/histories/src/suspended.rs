//! Periods in which the time limits of a controller are suspended.

/// Start and end of each period in ns; periods do not overlap.
#[derive(Default)]
pub struct Suspended(Vec<(u64, u64)>);

impl Suspended {
    /// Periods have to be added in the order of their start.
    pub fn add(&mut self, from: u64, until: u64) {
        let from = self.0.last().map_or(from, |span| from.max(span.1));
        if from < until {
            self.0.push((from, until));
        }
    }

    /// Length of the given period without the suspended time, ns.
    pub fn counted(&self, from: u64, until: u64) -> u64 {
        let overlap = |span: &(u64, u64)| span.1.min(until).saturating_sub(span.0.max(from));
        let suspended: u64 = self.0.iter().map(overlap).sum();
        until.saturating_sub(from).saturating_sub(suspended)
    }
}
