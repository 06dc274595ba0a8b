//! A fleet of two zones as levels see it: sums of what a plain model of its hosts makes of what is let in.

use std::collections::BTreeMap;

use amberarch_core::*;
use amberarch_service_levels::*;

pub const EVERY: f64 = 2_000.0;
const ZONES: u16 = 2;
const HOSTS: u32 = 6;
const PROXIES: u16 = 4;

pub fn product(effect: Effect, sla: f64, revenue: f64) -> Product {
    Product {
        sla,
        expiry: 3.0 * sla,
        effect,
        scope: Scope::All,
        window: 5_000.0,
        revenue,
        late_part: 0.2,
        own_zone: false,
        writes: effect != Effect::InquiryLike,
    }
}

/// Detail pages, results pages, tally submits.
pub fn products() -> Vec<(String, Product)> {
    vec![
        ("detail-page".into(), product(Effect::InquiryLike, 400.0, 0.3)),
        ("results-page".into(), product(Effect::InquiryLike, 400.0, 1.0)),
        ("tally-submit".into(), product(Effect::OnceOnly, 600.0, 3.0)),
    ]
}

pub fn on(signal: Signal, value: f64, lasting: f64) -> Condition {
    Condition { signal, value, lasting }
}

pub fn level(name: &str, least: &[f64], enter: &[Condition], leave: &[Condition]) -> Level {
    let keep = (0..).map(ProductId).zip(least).map(|(id, least)| (id, Keep { least: *least, most: 1.0 }));
    Level {
        name: name.into(),
        keep: keep.collect(),
        tries: Tries::AfterProof,
        enter: enter.to_vec(),
        leave: leave.to_vec(),
        stay: 20_000.0,
        emergency: false,
        force: false,
    }
}

/// Full service and three levels below it, the last entered by an emergency.
pub fn levels() -> Vec<Level> {
    let quiet = [on(Signal::Pressure, 0.6, 6_000.0), on(Signal::Voided, 0.05, 6_000.0)];
    vec![
        level("full", &[], &[], &[]),
        level("no-extras", &[0.0], &[on(Signal::Pressure, 0.8, 0.0)], &quiet),
        level("essentials", &[0.0, 0.3], &[on(Signal::Voided, 0.3, 3_000.0)], &quiet),
        Level {
            emergency: true,
            ..level("writes-only", &[0.0, 0.0], &[on(Signal::Voided, 0.6, 3_000.0)], &quiet)
        },
    ]
}

pub struct Night {
    pub levels: ServiceLevels,
    pub now: f64,
    pub trace: String,
    /// Txns a second of each product in each zone.
    pub rates: [f64; 3],
    /// Work a second that a zone's hosts can do, in ms of SLA time.
    pub capacity: [f64; 2],
    /// Of what is turned away, so much comes again in the next round.
    pub again: f64,
    /// No sums of these proxies; none at all of these zones.
    pub stalled: Vec<u16>,
    pub cut: Vec<u16>,
    /// Each sum comes that many times.
    pub times: u32,
    pub told: BTreeMap<(u16, u16), f64>,
    pub awaits: bool,
    turned_away: [[f64; 3]; 2],
    fresh: bool,
}

impl Night {
    pub fn new() -> Night {
        Night::with(levels(), true)
    }

    /// A steward's start: `fresh` where proxies hold nothing of one before it.
    pub fn with(levels: Vec<Level>, fresh: bool) -> Night {
        let mut night = Night {
            levels: Night::steward(levels),
            now: 0.0,
            trace: String::new(),
            rates: [40.0, 30.0, 10.0],
            capacity: [60_000.0; 2],
            again: 0.0,
            stalled: vec![],
            cut: vec![],
            times: 1,
            told: BTreeMap::new(),
            awaits: false,
            turned_away: [[0.0; 3]; 2],
            fresh,
        };
        night.begin();
        night
    }

    fn steward(levels: Vec<Level>) -> ServiceLevels {
        let ladder = Ladder::new(levels, &products()).expect("a ladder that can serve");
        let sums = Sums { every: EVERY, lines_per_s: 1_000.0 };
        ServiceLevels::new(ladder, ZONES, products().into_iter().map(|one| one.1).collect(), &sums, true)
    }

    /// The steward starts anew; proxies keep what they were told.
    pub fn restart(&mut self) {
        self.levels = Night::steward(levels());
        (self.fresh, self.awaits) = (false, false);
        self.note("the steward starts anew");
        self.begin();
    }

    /// Another steward takes this one's place without a word of what was.
    pub fn rejoin(&mut self) {
        self.begin();
    }

    fn begin(&mut self) {
        let entry = |host: u32| Listed {
            host: HostId(host),
            weight: 1.0,
            zone: ZoneId((host % u32::from(ZONES)) as u16),
            pod: PodId(0),
            kind: KindId(0),
            born: None,
            standing: Standing::On,
        };
        let entries = (0..HOSTS).map(entry).collect();
        self.hear(Event::List { news: ListNews::Restored, entries });
        for proxy in 0..PROXIES {
            let (zone, fresh) = (ZoneId(proxy % ZONES), self.fresh);
            self.hear(Event::Joined { proxy: ProxyId(proxy), zone, txns_per_s: 40.0, fresh });
        }
    }

    pub fn note(&mut self, text: &str) {
        self.trace += &format!("{:.1} s {text}\n", self.now / 1e3);
    }

    pub fn hear(&mut self, event: Event) {
        self.levels.hear(self.now, &event);
    }

    pub fn at(&self) -> String {
        self.levels.status().level.unwrap_or_else(|| "not known".into())
    }

    pub fn share(&self, zone: u16, product: u16) -> f64 {
        self.told.get(&(zone, product)).copied().unwrap_or(1.0)
    }

    /// So long, with sums at the end of each period and looks in between.
    pub fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 400.0;
            if self.now % EVERY < 400.0 {
                self.sums();
            }
            self.look();
        }
    }

    pub fn look(&mut self) {
        for event in self.levels.look(self.now) {
            match event {
                Event::Bound { zone, product, share, .. } => {
                    self.told.insert((zone.0, product.0), share);
                }
                Event::Await { on } => self.awaits = on,
                other => panic!("no event of levels: {other:?}"),
            }
        }
        for line in self.levels.said() {
            let line = line.split(" zone").next().unwrap_or("").to_string();
            self.note(&line);
        }
    }

    /// What a zone's proxies met in a period: the part that is too much is voided, what is near it is slow.
    pub fn sums(&mut self) {
        for zone in 0..ZONES {
            let mut came = [0.0; 3];
            let mut work = 0.0;
            let mut let_in = 0.0;
            let away = &mut self.turned_away[usize::from(zone)];
            for (id, ((came, away), (_, product))) in (0..).zip(came.iter_mut().zip(away).zip(products())) {
                *came = self.rates[usize::from(id)] + self.again * *away;
                let inside = *came * self.told.get(&(zone, id)).copied().unwrap_or(1.0);
                *away = *came - inside;
                (work, let_in) = (work + inside * product.sla, let_in + inside);
            }
            let used = work / self.capacity[usize::from(zone)];
            let mean = (0.2 / (1.0 - used).max(0.05)).min(2.5);
            self.sum(zone, came, let_in, (1.0 - 1.0 / used.max(1e-9)).max(0.0), mean);
        }
    }

    /// One zone's sums of a period: rates by product, tries a second, the voided part, the mean over the SLA time.
    pub fn sum(&mut self, zone: u16, came: [f64; 3], tries: f64, voided: f64, mean: f64) {
        if self.cut.contains(&zone) {
            return;
        }
        let over = EVERY;
        let count = |per_s: f64| (per_s * over / 1e3).round() as u32;
        let mine: Vec<u16> = (0..PROXIES).filter(|proxy| proxy % ZONES == zone).collect();
        let told =
            mine.iter().filter(|proxy| !self.stalled.contains(proxy)).count() as f64 / mine.len() as f64;
        let hosts: Vec<u32> = (0..HOSTS).filter(|host| host % u32::from(ZONES) == u32::from(zone)).collect();
        let all: f64 = came.iter().sum();
        let sla =
            came.iter().zip(products()).map(|(rate, one)| rate * one.1.sla).sum::<f64>() / all.max(1e-9);
        for _ in 0..self.times {
            for host in &hosts {
                let tries = count(told * tries / hosts.len() as f64);
                let voided = (f64::from(tries) * voided).round() as u32;
                let (host, zone, report) = (HostId(*host), ZoneId(zone), LoadReport::default());
                self.hear(Event::Met { host, zone, over, tries, voided, mean: mean * sla, report });
            }
            for proxy in
                mine.iter().filter(|proxy| !self.stalled.contains(proxy)).copied().collect::<Vec<_>>()
            {
                for (product, rate) in (0..).map(ProductId).zip(came) {
                    let txns = count(rate / mine.len() as f64);
                    self.hear(Event::Came { proxy: ProxyId(proxy), product, txns, voided: 0, over });
                }
            }
        }
    }
}
