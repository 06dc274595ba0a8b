//! The least bad: what goes to hosts that survive only so much, over the tables that name them, so that as little as
//! can be lies above what they survive, and as little as can be is changed. A linear program over (table, host); what a
//! table does not give to them goes to its other hosts, in the proportions that they have.

use amberarch_core::{HostId, TableId};
use microlp::{ComparisonOp, OptimizationDirection, Problem, Variable};

/// What lies above is worth so much more than a change of as much, and the worst host's part so much more again.
const EXCESS: f64 = 1_000.0;
const WORST: f64 = 10.0;

/// A table: what comes to it, and whether hosts that are not judged take the rest.
pub struct Dealt {
    pub tbl: TableId,
    pub demand: f64,
    pub rest: bool,
    /// By host, what it would get.
    pub hosts: Vec<(HostId, f64)>,
}

/// A host: what it may get from those tables.
pub struct Room {
    pub host: HostId,
    pub room: f64,
}

pub struct Least {
    /// In the order of the tables: what each host gets, txns a second, and what goes to the rest.
    pub dealt: Vec<(Vec<(HostId, f64)>, f64)>,
    /// What lies above, txns a second.
    pub price: f64,
}

/// None: the solver found none, which stands for "as it is".
pub fn least(tables: &[Dealt], rooms: &[Room]) -> Option<Least> {
    let mut problem = Problem::new(OptimizationDirection::Minimize);
    let any = (0.0, f64::INFINITY);
    let worst = problem.add_var(WORST * EXCESS, any);
    let mut parts: Vec<(Vec<Variable>, Option<Variable>)> = Vec::new();
    for table in tables {
        let mut row: Vec<(Variable, f64)> = Vec::new();
        for (_, would) in &table.hosts {
            let part = problem.add_var(0.0, (0.0, table.demand));
            let less = problem.add_var(1.0, any);
            problem.add_constraint([(part, 1.0), (less, 1.0)], ComparisonOp::Ge, *would);
            row.push((part, 1.0));
        }
        let rest = table.rest.then(|| problem.add_var(0.0, any));
        row.extend(rest.map(|rest| (rest, 1.0)));
        problem.add_constraint(&row, ComparisonOp::Eq, table.demand);
        parts.push((row.iter().take(table.hosts.len()).map(|(part, _)| *part).collect(), rest));
    }
    let mut excesses = Vec::new();
    for Room { host, room } in rooms {
        let excess = problem.add_var(EXCESS, any);
        excesses.push(excess);
        let mut row = vec![(excess, -1.0)];
        for (table, (vars, _)) in tables.iter().zip(&parts) {
            row.extend(
                table.hosts.iter().zip(vars).filter(|(named, _)| named.0 == *host).map(|(_, v)| (*v, 1.0)),
            );
        }
        problem.add_constraint(&row, ComparisonOp::Le, room.max(0.0));
        problem.add_constraint([(worst, room.max(1.0)), (excess, -1.0)], ComparisonOp::Ge, 0.0);
    }
    let solution = problem.solve().ok()?.into_solution().ok()?;
    let dealt = tables.iter().zip(&parts).map(|(table, (vars, rest))| {
        let hosts = table.hosts.iter().zip(vars).map(|((host, _), var)| (*host, solution[*var]));
        (hosts.collect(), rest.map_or(0.0, |rest| solution[rest]))
    });
    let price = excesses.iter().map(|excess| solution[*excess]).sum();
    Some(Least { dealt: dealt.collect(), price })
}
