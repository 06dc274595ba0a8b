//! Spans in which the time limits of a controller are suspended.

/// Spans in ns; none overlaps another.
#[derive(Default)]
pub struct Suspended(Vec<(u64, u64)>);

impl Suspended {
    /// Spans have to come in the order of their beginnings.
    pub fn add(&mut self, from: u64, until: u64) {
        let from = self.0.last().map_or(from, |span| from.max(span.1));
        if from < until {
            self.0.push((from, until));
        }
    }

    /// How much of that span counts, ns.
    pub fn counted(&self, from: u64, until: u64) -> u64 {
        let overlap = |span: &(u64, u64)| span.1.min(until).saturating_sub(span.0.max(from));
        let suspended: u64 = self.0.iter().map(overlap).sum();
        until.saturating_sub(from).saturating_sub(suspended)
    }
}
