//! What is heard, kept until it is judged.

use super::*;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

impl Steward {
    pub(crate) fn hear(&mut self, now: f64, event: &Event) {
        match event {
            Event::List { news: ListNews::Failed, .. } => {
                let hashed = BuildHasherDefault::<DefaultHasher>::default();
                let chance = 0.75 + (hashed.hash_one((self.post.seed, self.failures)) % 500) as f64 / 1e3;
                let wait = 600.0 * 2f64.powi(self.failures.min(3)) * chance;
                (self.failures, self.ask_at) = (self.failures + 1, now + wait);
            }
            Event::List { news, entries } => self.learn(now, *news, entries),
            Event::Joined { proxy, zone, txns_per_s: rate, fresh } => {
                self.left(*proxy);
                self.waiting.joined(*proxy, *fresh);
                self.present.joined(*proxy, *fresh);
                self.waiting.newcomer(*proxy, self.channel.head + 1.0);
                self.proxies.insert(*proxy, Proxy::joined(now, *zone, *rate, *fresh));
            }
            Event::Left { proxy } => self.left(*proxy),
            Event::Met { host, zone, tries, voided, mean, over, .. } => {
                let from = if *over > 1.5 * self.sums.every { now - over } else { now };
                let (out, warmup) = (self.present.held.contains(host), &self.warmup);
                let counts = |h: &&mut Host| h.able(now, warmup) >= 1.0 || !out && from > h.let_in_at;
                if let Some(host) = self.hosts.get_mut(host).filter(counts) {
                    host.met.entry(*zone).or_default().add(now, Tally::new(*tries, *voided, *mean, *over));
                    (host.summed, self.summed_at) = (true, now);
                    host.told = host.told.filter(|told| told.1 > now - over / 2.0);
                }
            }
            Event::Came { proxy, product, txns, voided, over } => {
                let (asked, sum) = (self.proxies.get_mut(proxy), Tally::new(*txns, *voided, 0.0, *over));
                asked.into_iter().for_each(|proxy| proxy.asked.came(now, *product, sum));
            }
            Event::Probed { host, outcome, report, .. } => self.probed(now, *host, *outcome, report),
            Event::Load { host, load, age, sure } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    let fits = |told: &(f64, f64)| *sure >= SURE && Some(told.1) > host.cold_since;
                    host.told = Some((*load, now - age)).filter(fits);
                    host.busy = host.told.map(|told| told.0).or(host.busy);
                }
            }
            // Hints save learning anew. Nothing that was seen yet is touched, and two passes lift the gate.
            Event::Hint { host, part, shut } => {
                if let Some(host) = self.hosts.get_mut(host).filter(|host| host.met.is_empty()) {
                    (host.pace, host.gate.shut) = (*part, host.gate.shut || *shut && host.gate.passes == 0);
                }
            }
            Event::Bound { zone, product, share, tries } => {
                self.bounds.insert((*zone, *product), (*share, *tries));
            }
            Event::Reach { zone, product, zones } => self.urgent |= self.told.tell(*zone, *product, *zones),
            Event::Await { on } => self.awaits = *on,
            Event::Applied { proxy, mark, .. } => {
                let known = self.waiting.answered(*proxy, *mark);
                known.then(|| self.stall.answered(now));
            }
            Event::Together { first, last } => self.waiting.together(*first, *last),
            Event::Again { mark } => self.waiting.again(now, *mark),
            Event::Parted { mark } => self.waiting.parted(now, *mark, self.channel.head + 1.0),
            Event::Behind { on } => {
                self.waiting.behind(*on);
                self.urgent |= !*on;
            }
            _ => {}
        }
    }

    fn left(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
        self.present.left(proxy);
        self.waiting.left(proxy);
    }

    fn learn(&mut self, now: f64, news: ListNews, entries: &[Listed]) {
        (self.failures, self.urgent) = (0, true);
        // Before the first host nothing was ordered that could still hold one back.
        let first = self.hosts.is_empty();
        // Places are dealt by weight, the lowest free one first, so that tables of one size carry alike.
        let listed = self.hosts.values().filter(|host| host.standing != Standing::Gone);
        let mut taken: Places = listed.map(|host| (host.zone, host.place)).collect();
        let anew = self.hosts.values_mut().filter(|_| news != ListNews::Changes);
        anew.for_each(|host| host.standing = Standing::Gone);
        let mut entries: Vec<&Listed> = entries.iter().collect();
        entries.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.kind.cmp(&b.kind)));
        for entry in entries {
            let (zone, standing, kind) = (entry.zone, entry.standing, entry.kind);
            let weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
            // One that is new here may be one that was let go while shut out: it is let in like those.
            let new = news != ListNews::Restored && !first && !self.hosts.contains_key(&entry.host);
            self.present.held.extend(new.then_some(entry.host));
            let free = taken.lowest_free(zone);
            #[rustfmt::skip]
            let host = self.hosts.entry(entry.host).or_insert_with(|| Host {
                zone, place: free, weight, standing, kind, cold_since: None, gate: Gate::default(),
                pace: self.kinds.get(&kind).map_or(1.0, |kind| kind.0), paced_at: f64::MIN, kept: 1.0,
                met: BTreeMap::new(), summed: false, busy: None, told: None, probed_at: f64::MIN,
                back_at: f64::MIN, let_in_at: f64::MIN,
            });
            (host.zone, host.standing, host.weight) = (zone, standing, weight);
            taken.take(zone, host.place);
            let known = host.cold_since.unwrap_or(now - self.warmup.within);
            if let Some(born) = entry.born.filter(|born| *born > known) {
                // What it did before it started anew says nothing.
                (host.gate, host.cold_since) = (Gate { shut: host.gate.shut, ..Gate::default() }, Some(born));
                (host.told, host.back_at) = (None, if host.back_at > now { f64::MIN } else { host.back_at });
                host.met.clear();
            }
        }
    }
}
