//! Assigns load when some hosts would exceed what they survive: minimizes first the load above the hosts'
//! limits, then the change from the intended load. This is a linear program over pairs of table and host.
//! Load that a table does not assign to limited hosts goes to its other hosts, in proportion to their
//! weights.

use amberarch_core::{HostId, TableId};
use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};

/// Costs in the objective function: one txn a second above a limit costs as much as a change of `EXCESS` txns
/// a second, and the largest relative excess of any host costs `WORST` times as much again.
const EXCESS: f64 = 1_000.0;
const WORST: f64 = 10.0;

/// A table: its demand in txns a second, and whether hosts without a limit take the remainder.
pub struct TableDemand {
    pub table_id: TableId,
    pub demand: f64,
    pub rest: bool,
    /// The load that each limited host would get without the change, by host.
    pub hosts: Vec<(HostId, f64)>,
}

/// A host and the load in txns a second that it may get from these tables.
pub struct HostLimit {
    pub host: HostId,
    pub limit: f64,
}

pub struct Allocation {
    /// For each table in order: the load of each host, in txns a second, and the load that goes to the hosts
    /// without a limit.
    pub loads: Vec<(Vec<(HostId, f64)>, f64)>,
    /// The load above the limits, in txns a second.
    pub price: f64,
}

/// Solves the linear program. Returns `None` if the solver finds no solution.
pub fn minimize_excess(tables: &[TableDemand], limits: &[HostLimit]) -> Option<Allocation> {
    let mut problem = Problem::new(OptimizationDirection::Minimize);
    let any = (0.0, f64::INFINITY);
    let worst = problem.add_var(WORST * EXCESS, any);
    let mut variables: Vec<(Vec<Variable>, Option<Variable>)> = Vec::new();
    for table in tables {
        let mut row: Vec<(Variable, f64)> = Vec::new();
        for (_, would) in &table.hosts {
            let load = problem.add_var(0.0, (0.0, table.demand));
            let less = problem.add_var(1.0, any);
            problem.add_constraint([(load, 1.0), (less, 1.0)], ComparisonOp::Ge, *would);
            row.push((load, 1.0));
        }
        let rest = table.rest.then(|| problem.add_var(0.0, any));
        row.extend(rest.map(|rest| (rest, 1.0)));
        problem.add_constraint(&row, ComparisonOp::Eq, table.demand);
        variables.push((row.iter().take(table.hosts.len()).map(|(load, _)| *load).collect(), rest));
    }
    let mut excesses = Vec::new();
    for HostLimit { host, limit } in limits {
        let excess = problem.add_var(EXCESS, any);
        excesses.push(excess);
        let mut row = vec![(excess, -1.0)];
        for (table, (vars, _)) in tables.iter().zip(&variables) {
            row.extend(
                table.hosts.iter().zip(vars).filter(|(named, _)| named.0 == *host).map(|(_, v)| (*v, 1.0)),
            );
        }
        problem.add_constraint(&row, ComparisonOp::Le, limit.max(0.0));
        problem.add_constraint([(worst, limit.max(1.0)), (excess, -1.0)], ComparisonOp::Ge, 0.0);
    }
    let solution = problem.solve().ok()?.into_solution().ok()?;
    let loads = tables.iter().zip(&variables).map(|(table, (vars, rest))| {
        let hosts = table.hosts.iter().zip(vars).map(|((host, _), var)| (*host, solution[*var]));
        (hosts.collect(), rest.map_or(0.0, |rest| solution[rest]))
    });
    let price = excesses.iter().map(|excess| solution[*excess]).sum();
    Some(Allocation { loads: loads.collect(), price })
}
