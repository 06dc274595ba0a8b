//! What proxies hold, as far as orders went out.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_core::{HostId, Products, ProxyId, TblId, Tries, ZoneId};

use crate::{Bind, Plan, Proxy, Reach, Tbl, Told};

/// Numbers from here on are dealt out as tables come into use; below it a table's number follows from its place.
const DEALT: u16 = 0x8000;

/// Hosts shut out, lines of tables, who uses which table for what, and how much is let in. Who uses a table, which
/// tables name a host and how many proxies are bound are kept beside: to look for them goes over the whole fleet.
#[derive(Clone, Default)]
pub struct Present {
    pub held: BTreeSet<HostId>,
    pub levels: BTreeMap<(Tbl, Products), (f64, Tries)>,
    lines: BTreeMap<Tbl, BTreeMap<HostId, f64>>,
    binds: BTreeMap<(ProxyId, Tbl), Products>,
    /// By table that somebody uses.
    users: BTreeMap<Tbl, BTreeSet<ProxyId>>,
    /// By host that a table names.
    naming: BTreeMap<HostId, BTreeSet<Tbl>>,
    /// Tables that a proxy may still use: it joined again in the moment in which it left, so it may have been there all
    /// the time. By proxy, and by table.
    lingering: BTreeMap<ProxyId, BTreeMap<Tbl, Products>>,
    may_use: BTreeMap<Tbl, BTreeSet<ProxyId>>,
    /// What proxies that left a moment ago used, or may have used.
    left_now: BTreeMap<ProxyId, BTreeMap<Tbl, Products>>,
    /// So many proxies use some table.
    bound: usize,
    zones: u16,
    numbers: BTreeMap<Tbl, u16>,
    /// The next number to be looked at; none: none was dealt yet.
    next: Option<u16>,
}

impl Present {
    /// Nothing is held yet, in so many zones.
    pub fn new(zones: u16) -> Present {
        Present { zones, ..Present::default() }
    }

    /// The lines of each table that is known.
    pub fn lines(&self) -> &BTreeMap<Tbl, BTreeMap<HostId, f64>> {
        &self.lines
    }

    /// The most groups of places that a tree may have, so that no number which follows from a place is ever dealt.
    pub fn most_groups(zones: u16) -> u32 {
        u32::from(DEALT / 4 / zones.clamp(1, DEALT / 4))
    }

    /// A table of a reach of its own has none before [`Present::begin`].
    pub fn number(&self, tbl: Tbl) -> TblId {
        let ((ZoneId(zone), reach, node), zones) = (tbl, self.zones);
        let place = |own: u16| zone + zones * (2 * (node.max(1) as u16 - 1) + own);
        match reach {
            Reach::Free => TblId(place(0)),
            Reach::Own => TblId(place(1)),
            Reach::Only(_) => self.numbers.get(&tbl).map_or(TblId::ALL, |number| TblId(*number)),
        }
    }

    /// Knows the table from now on; true: it got a number that may have been another table's. Numbers are dealt in
    /// turn, so that one comes again as late as can be, from one that follows from the time: what a plan before this
    /// one dealt may still be in use. Where none is left the table stays unknown.
    pub fn begin(&mut self, now: f64, tbl: Tbl) -> bool {
        let dealt = matches!(tbl.1, Reach::Only(_)) && !self.lines.contains_key(&tbl);
        if dealt {
            let all = u16::MAX - DEALT;
            // Plans that are made 50 ms apart begin a few thousand numbers apart.
            let first = self.next.unwrap_or((now as u64 * 7_919 % u64::from(all)) as u16);
            let turn = |step: u16| DEALT + ((u32::from(first) + u32::from(step)) % u32::from(all)) as u16;
            let free = |number: &u16| !self.numbers.values().any(|taken| taken == number);
            let Some(number) = (0..all).map(turn).find(free) else { return false };
            self.next = Some((number - DEALT + 1) % all);
            self.numbers.insert(tbl, number);
        }
        self.lines.entry(tbl).or_default();
        dealt
    }

    /// Lets go of tables with a reach of their own that nobody uses, nor is to by the wanted plan; gives
    /// their numbers.
    pub fn drop_unused(&mut self, wanted: &Plan) -> Vec<TblId> {
        if self.numbers.is_empty() {
            return vec![];
        }
        let used = wanted.used();
        let idle = |tbl: &&Tbl| !self.users.contains_key(*tbl) && !used.contains(*tbl);
        let unused: Vec<Tbl> = self.numbers.keys().filter(idle).copied().collect();
        let numbers = unused.iter().map(|tbl| self.number(*tbl)).collect();
        for tbl in &unused {
            for host in self.lines.remove(tbl).unwrap_or_default().into_keys() {
                self.unname(*tbl, host);
            }
            self.numbers.remove(tbl);
            self.levels.retain(|(of, _), _| of != tbl);
        }
        numbers
    }

    fn unname(&mut self, tbl: Tbl, host: HostId) {
        if let Some(naming) = self.naming.get_mut(&host) {
            naming.remove(&tbl);
            if naming.is_empty() {
                self.naming.remove(&host);
            }
        }
    }

    /// The tables that a proxy is bound to, and for which products.
    pub fn bound(&self, proxy: ProxyId) -> impl Iterator<Item = (Tbl, Products)> + '_ {
        let first = (proxy, (ZoneId(0), Reach::Free, 0));
        let of_it = self.binds.range(first..).take_while(move |bind| bind.0 .0 == proxy);
        of_it.map(|((_, tbl), products)| (*tbl, *products))
    }

    /// The tables that a proxy uses for these products.
    pub fn using(&self, proxy: ProxyId, products: Products) -> Vec<Tbl> {
        self.bound(proxy).filter(|(_, of)| of.0 & products.0 != 0).map(|bound| bound.0).collect()
    }

    /// The wanted binds that do not stand, each with those of its products for which its proxy uses another table or
    /// none.
    pub fn lacking(&self, wanted: &Plan) -> Vec<Bind> {
        let (mut lacking, mut standing) = (Vec::new(), self.binds.iter().peekable());
        for (of, products) in &wanted.binds {
            while standing.peek().is_some_and(|has| has.0 < of) {
                standing.next();
            }
            let has = standing.peek().filter(|has| has.0 == of).map_or(0, |has| has.1 .0);
            if products.0 & !has != 0 {
                lacking.push((*of, Products(products.0 & !has)));
            }
        }
        lacking
    }

    /// Sets lines of a table; a weight of zero removes one.
    pub fn set(&mut self, tbl: Tbl, lines: Vec<(HostId, f64)>) {
        for (host, weight) in lines {
            if weight > 0.0 {
                self.lines.entry(tbl).or_default().insert(host, weight);
                self.naming.entry(host).or_default().insert(tbl);
            } else if self.lines.entry(tbl).or_default().remove(&host).is_some() {
                self.unname(tbl, host);
            }
        }
    }

    /// Of hosts that are gone, lets go of those that no table names, where all proxies are bound; gives them.
    pub fn let_go(
        &mut self,
        gone: impl Iterator<Item = HostId>,
        proxies: &BTreeMap<ProxyId, Proxy>,
    ) -> BTreeSet<HostId> {
        if self.bound < proxies.len() {
            return BTreeSet::new();
        }
        let gone: BTreeSet<HostId> = gone.filter(|id| !self.naming.contains_key(id)).collect();
        self.held.retain(|id| !gone.contains(id));
        gone
    }

    /// The proxy uses that table for these products, no other.
    pub fn bind(&mut self, proxy: ProxyId, tbl: Tbl, products: Products) {
        let had: Vec<(Tbl, Products)> = self.bound(proxy).collect();
        for (other, had) in had.iter().filter(|bound| bound.0 != tbl) {
            match Products(had.0 & !products.0) {
                Products(0) => self.unbind(proxy, *other),
                left => drop(self.binds.insert((proxy, *other), left)),
            }
        }
        self.lingers_less(proxy, products);
        self.binds.entry((proxy, tbl)).or_insert(Products(0)).0 |= products.0;
        self.users.entry(tbl).or_default().insert(proxy);
        self.bound += usize::from(had.is_empty());
    }

    fn unbind(&mut self, proxy: ProxyId, tbl: Tbl) {
        self.binds.remove(&(proxy, tbl));
        if let Some(users) = self.users.get_mut(&tbl) {
            users.remove(&proxy);
            if users.is_empty() {
                self.users.remove(&tbl);
            }
        }
    }

    /// The proxy holds nothing of this any more, unless it joins again at once.
    pub fn left(&mut self, proxy: ProxyId) {
        let had: Vec<(Tbl, Products)> = self.bound(proxy).collect();
        had.iter().for_each(|(tbl, _)| self.unbind(proxy, *tbl));
        self.bound -= usize::from(!had.is_empty());
        let mut used = self.lingering.remove(&proxy).unwrap_or_default();
        for tbl in used.keys() {
            self.uses_no_more(proxy, *tbl);
        }
        for (tbl, products) in had {
            used.entry(tbl).or_insert(Products(0)).0 |= products.0;
        }
        if !used.is_empty() {
            self.left_now.insert(proxy, used);
        }
    }

    /// The proxy joins, or goes on after a gap in the news in which it may have left and joined again. Guards the queue's
    /// limit: lines of tables that it was bound to may reach it still, whatever it is bound to by our orders.
    pub fn joined(&mut self, proxy: ProxyId, fresh: bool) {
        let Some(used) = self.left_now.remove(&proxy).filter(|_| !fresh) else { return };
        for tbl in used.keys() {
            self.may_use.entry(*tbl).or_default().insert(proxy);
        }
        self.lingering.insert(proxy, used);
    }

    /// Who left up to now and has not joined again has left for good.
    pub fn settle_departures(&mut self) {
        self.left_now.clear();
    }

    /// It uses another table for these products now.
    fn lingers_less(&mut self, proxy: ProxyId, products: Products) {
        let Some(mut used) = self.lingering.remove(&proxy) else { return };
        for (tbl, of) in &mut used {
            of.0 &= !products.0;
            if of.0 == 0 {
                self.uses_no_more(proxy, *tbl);
            }
        }
        used.retain(|_, of| of.0 != 0);
        if !used.is_empty() {
            self.lingering.insert(proxy, used);
        }
    }

    fn uses_no_more(&mut self, proxy: ProxyId, tbl: Tbl) {
        if let Some(users) = self.may_use.get_mut(&tbl) {
            users.remove(&proxy);
            if users.is_empty() {
                self.may_use.remove(&tbl);
            }
        }
    }

    /// Who gets the lines of a table: those that use it and those that may.
    pub fn reached(&self, of: &Tbl) -> Vec<ProxyId> {
        let users = self.users.get(of).into_iter().flatten();
        let mut reached: BTreeSet<ProxyId> = users.copied().collect();
        reached.extend(self.may_use.get(of).into_iter().flatten());
        reached.into_iter().collect()
    }

    pub fn users(&self, of: &Tbl) -> Vec<ProxyId> {
        self.users.get(of).into_iter().flatten().copied().collect()
    }

    /// The tables that somebody uses.
    pub fn used(&self) -> impl Iterator<Item = &Tbl> {
        self.users.keys()
    }

    pub fn names(&self, tbl: &Tbl, host: HostId) -> bool {
        self.lines.get(tbl).is_some_and(|lines| lines.contains_key(&host))
    }

    /// A host's in a table that names it.
    pub fn weight(&self, tbl: &Tbl, host: HostId) -> Option<f64> {
        self.lines.get(tbl)?.get(&host).copied()
    }

    /// Nothing in the table serves.
    pub fn bare(&self, tbl: &Tbl) -> bool {
        self.lines.get(tbl).is_none_or(|lines| lines.keys().all(|host| self.held.contains(host)))
    }

    /// Whether in some table that the proxy uses for these products nothing serves; none: it uses no table for them.
    pub fn bare_for(&self, proxy: ProxyId, products: Products) -> Option<bool> {
        let using = self.using(proxy, products);
        (!using.is_empty()).then(|| using.iter().any(|tbl| self.bare(tbl)))
    }

    /// Some proxy uses no table yet.
    pub fn lacks_binds(&self, proxies: &BTreeMap<ProxyId, Proxy>) -> bool {
        self.bound < proxies.len()
    }

    /// Those that may hold a host: proxies at a table that names it, and those not bound yet. All that are bound
    /// have joined.
    pub fn holders(&self, host: HostId, proxies: &BTreeMap<ProxyId, Proxy>) -> Vec<ProxyId> {
        let tbls = self.naming.get(&host).into_iter().flatten();
        let mut holders: BTreeSet<ProxyId> =
            tbls.filter_map(|tbl| self.users.get(tbl)).flatten().copied().collect();
        if self.lacks_binds(proxies) {
            holders.extend(proxies.keys().filter(|id| self.bound(**id).next().is_none()));
        }
        holders.into_iter().collect()
    }

    /// Of the binds, those of governed products that may use something outside until then, also as proxies that are
    /// not bound yet may.
    pub fn narrowing(&self, wanted: &Plan, told: &Told) -> Vec<Bind> {
        if told.nothing() {
            return vec![];
        }
        // What stands leaves nothing: a table is within its own reach.
        let narrows = |((proxy, tbl), of): Bind| {
            let keeps = self.bound(proxy).filter(|(has, _)| has.1.within(tbl.1, tbl.0));
            let keeps = keeps.fold(0, |all, (_, of)| all | of.0);
            let leaves = Products(told.governs(tbl.0, of).0 & !keeps);
            (leaves.0 != 0 && tbl.1 != Reach::Free).then_some(((proxy, tbl), leaves))
        };
        self.lacking(wanted).into_iter().filter_map(narrows).collect()
    }

    /// Tables in use that name a host which is in another zone now, outside their reach.
    pub fn moved(&self, told: &Told, zone: impl Fn(&HostId) -> Option<ZoneId>) -> BTreeSet<Tbl> {
        // With nothing told only a table that was dealt a number has an outside.
        if told.nothing() && self.numbers.is_empty() {
            return BTreeSet::new();
        }
        let outside = |tbl: &Tbl, id: &HostId| zone(id).is_some_and(|zone| told.outside(tbl, zone));
        let named = |tbl: &Tbl| self.lines.get(tbl).into_iter().flat_map(BTreeMap::keys);
        self.used().filter(|tbl| named(tbl).any(|id| outside(tbl, id))).copied().collect()
    }

    /// Tables that these binds leave.
    pub fn left_by(&self, binds: &[Bind]) -> BTreeSet<Tbl> {
        binds.iter().flat_map(|((proxy, _), of)| self.using(*proxy, *of)).collect()
    }
}
