//! The tables of a reach as a binary tree: each level splits the hosts among twice as many tables.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{HostId, ZoneId};

/// The node of a table in its tree: 1 names all hosts; b + r, where b is a power of two, names every b-th
/// host starting at place r. Zero: no table is assigned.
pub type Node = u32;

/// The number of tables on the level of the node.
pub fn tables_at_level(node: Node) -> u32 {
    1 << node.max(1).ilog2()
}

/// Whether the table of the node names the host at this place of its zone.
pub fn includes_place(node: Node, place: u32) -> bool {
    place % tables_at_level(node) == node.max(1) - tables_at_level(node)
}

/// Allocates the places of hosts in their zones. No place is given back, so the search for
/// the lowest free one only moves forward.
#[derive(Default)]
pub struct PlaceAllocator {
    taken: BTreeSet<(ZoneId, u32)>,
    lowest: BTreeMap<ZoneId, u32>,
}

impl PlaceAllocator {
    pub fn reserve(&mut self, zone: ZoneId, place: u32) {
        self.taken.insert((zone, place));
    }

    pub fn lowest_free(&mut self, zone: ZoneId) -> u32 {
        let lowest = self.lowest.entry(zone).or_insert(0);
        while self.taken.contains(&(zone, *lowest)) {
            *lowest += 1;
        }
        *lowest
    }
}

impl FromIterator<(ZoneId, u32)> for PlaceAllocator {
    fn from_iter<I: IntoIterator<Item = (ZoneId, u32)>>(taken: I) -> PlaceAllocator {
        PlaceAllocator { taken: taken.into_iter().collect(), ..PlaceAllocator::default() }
    }
}

/// The load of the tables of a tree. The smallest tables each name one group of places, and `open_weight` is
/// the open weight per group.
///
/// The open weight and the load of a table are cached until an assignment changes, because each proxy asks
/// for them of every table that it could be assigned to.
pub struct TableLoads<'a> {
    open_weight: &'a [f64],
    group_loads: Vec<f64>,
    /// Open weight by node.
    node_open_weights: Vec<f64>,
    cached_loads: RefCell<Vec<Option<f64>>>,
}

fn groups_of(node: Node, group_count: usize) -> impl Iterator<Item = usize> {
    let tables_at_level = tables_at_level(node) as usize;
    (node.max(1) as usize - tables_at_level..group_count).step_by(tables_at_level)
}

impl<'a> TableLoads<'a> {
    /// The number of groups is a power of two.
    pub fn new(open_weight: &'a [f64]) -> TableLoads<'a> {
        let nodes = 2 * open_weight.len() as Node;
        let sum = |node| groups_of(node, open_weight.len()).map(|group| open_weight[group]).sum();
        let (node_open_weights, cached_loads) =
            ((0..nodes).map(sum).collect(), RefCell::new(vec![None; nodes as usize]));
        TableLoads { open_weight, group_loads: vec![0.0; open_weight.len()], node_open_weights, cached_loads }
    }

    /// Assigns a proxy with this fraction of the total demand to the table; a negative fraction removes it.
    pub fn assign(&mut self, node: Node, fraction: f64) {
        let per_weight = fraction / self.open_weight_of(node).max(1e-9);
        self.cached_loads.get_mut().fill(None);
        for group in groups_of(node, self.open_weight.len()) {
            self.group_loads[group] += per_weight * self.open_weight[group];
        }
    }

    fn open_weight_of(&self, node: Node) -> f64 {
        let sum = || groups_of(node, self.open_weight.len()).map(|group| self.open_weight[group]).sum();
        // A proxy may still be assigned to a node of a tree that was deeper.
        self.node_open_weights.get(node as usize).copied().unwrap_or_else(sum)
    }

    /// The load per open weight with this fraction of the demand added; 1 is the average over all tables.
    pub fn load_with(&self, node: Node, fraction: f64) -> f64 {
        let sum = || groups_of(node, self.open_weight.len()).map(|group| self.group_loads[group]).sum();
        let load = match self.cached_loads.borrow_mut().get_mut(node as usize) {
            Some(cached) => *cached.get_or_insert_with(sum),
            None => sum(),
        };
        (fraction.max(1e-6) + load) * self.open_weight_of(1) / self.open_weight_of(node).max(1e-9)
    }
}

/// An entry that the tables of a reach may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TableEntry {
    pub host: HostId,
    pub place: u32,
    pub weight: f64,
    /// Txns may be sent there now.
    pub open: bool,
}

/// Open weight in each of so many groups of places.
pub fn open_weight_by_group(entries: &[TableEntry], group_count: usize) -> Vec<f64> {
    let mut open_weight = vec![0.0; group_count];
    entries
        .iter()
        .filter(|entry| entry.open)
        .for_each(|entry| open_weight[entry.place as usize % group_count] += entry.weight);
    open_weight
}
