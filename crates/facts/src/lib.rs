//! Converts the settings of a controller into the bootstrap settings of its decisions.
//!
//! Settings arrive as `path=value` pairs from the simulator or as nested JSON, with the same names and units (times
//! are in nanoseconds). Both forms are read into the same map from path to value, which is converted once.

mod names;

use std::collections::BTreeMap;
use std::str::FromStr;

use amberarch_core::*;
use amberarch_policy::Controller;
use serde_json::Value;

pub use names::Names;

/// Settings by path, as text. Lists of scalar values are joined by commas.
#[derive(Clone, Debug, PartialEq)]
pub struct Given(BTreeMap<String, String>);

/// All bootstrap settings. Times are in ms.
pub struct Start {
    pub post: InstanceSettings,
    pub products: Vec<RequestClass>,
    pub channel: Channel,
    pub sidecars: ProxySettings,
    pub warmup: Warmup,
    pub roster: HostListSettings,
    pub sums: ReportSettings,
}

impl Given {
    /// Reads `path=value` pairs; empty ones are skipped.
    pub fn from_pairs<'a>(pairs: impl Iterator<Item = &'a str>) -> Result<Given, String> {
        let parse = |pair: &str| {
            let parsed = pair.split_once('=').map(|(path, value)| (path.to_string(), value.to_string()));
            parsed.ok_or_else(|| format!("expected path=value, found '{pair}'"))
        };
        pairs.filter(|pair| !pair.is_empty()).map(parse).collect::<Result<_, _>>().map(Given)
    }

    /// Reads nested JSON: object keys and positions in lists of objects become path segments, and the length of such a
    /// list is stored as `count`. Commas and spaces in text values become underscores, as in the pairs.
    pub fn from_json(settings: &Value) -> Result<Given, String> {
        match settings {
            Value::Object(_) => {
                let mut given = Given(BTreeMap::new());
                given.flatten("", settings);
                Ok(given)
            }
            other => Err(format!("expected the settings as an object, found {other}")),
        }
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let child = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
        let scalar = |value: &Value| match value {
            Value::String(text) => text.replace([' ', ','], "_"),
            other => other.to_string(),
        };
        match value {
            Value::Null => {}
            Value::Object(fields) => fields.iter().for_each(|(key, value)| self.flatten(&child(key), value)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(child("count"), items.len().to_string());
                items
                    .iter()
                    .enumerate()
                    .for_each(|(index, item)| self.flatten(&child(&index.to_string()), item));
            }
            Value::Array(items) => {
                self.0.insert(path.into(), items.iter().map(scalar).collect::<Vec<_>>().join(","));
            }
            single => {
                self.0.insert(path.into(), scalar(single));
            }
        }
    }

    /// Replaces one setting. For a front end that provides itself what the setting describes.
    pub fn with(mut self, path: &str, value: &str) -> Given {
        self.0.insert(path.into(), value.into());
        self
    }

    /// Names of the zones, in the order of their numbers.
    pub fn zones(&self) -> Result<Vec<String>, String> {
        Ok(self.text("dcs")?.split(',').map(String::from).collect())
    }

    /// Names of the instance types, in the order of their numbers.
    pub fn kinds(&self) -> Result<Vec<String>, String> {
        Ok(self.text("kinds")?.split(',').map(String::from).collect())
    }

    /// Names of the request classes, in the order of their numbers.
    pub fn products(&self) -> Result<Vec<String>, String> {
        let name = |index| self.text(&format!("classes.{index}.name")).map(String::from);
        (0..self.count("classes.count")?).map(name).collect()
    }

    /// Number of proxies of all controllers together.
    pub fn proxies(&self) -> Result<u32, String> {
        self.count("familyInfo.agents")
    }

    /// Whether hosts report their load in probe answers.
    pub fn load_reports(&self) -> Result<bool, String> {
        Ok(self.text("loadInfo.how")? != "off")
    }

    /// Connect timeout, ms.
    pub fn connect_within(&self) -> Result<f64, String> {
        self.time("policyLimits.connectTimeout")
    }

    /// Time after which a controller that has not asked for the host list counts as having received it, ms.
    pub fn ask_within(&self) -> Result<f64, String> {
        self.time("rules.askWithin")
    }

    /// How long a host that drains, or is listed in another zone, still counts for its former place, ms.
    pub fn drain_grace(&self) -> Result<f64, String> {
        self.time("rules.drainGrace")
    }

    /// The request classes, in the order of [`Given::products`].
    pub fn product_facts(&self) -> Result<Vec<RequestClass>, String> {
        (0..self.count("classes.count")?).map(|index| product(self, index)).collect()
    }

    /// Settings of the traffic reports.
    pub fn sums(&self) -> Result<ReportSettings, String> {
        let interval = self.time("familyInfo.reportEvery")?;
        Ok(ReportSettings { interval, max_lines_per_s: self.number("familyInfo.reportsPerS")? })
    }

    /// Which kind of admission level the proxies support.
    pub fn level_kind(&self) -> Result<LevelKind, String> {
        self.one_of(
            "familyInfo.levelKind",
            &[
                ("off", LevelKind::Off),
                ("fraction", LevelKind::Fraction),
                ("per_second", LevelKind::PerSecond),
            ],
        )
    }

    fn text(&self, name: &str) -> Result<&str, String> {
        let found = self.0.get(name).map(String::as_str);
        found.ok_or_else(|| format!("expected the setting {name}, found none"))
    }

    fn number<T: FromStr>(&self, name: &str) -> Result<T, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("expected a number for the setting {name}, found '{text}'"))
    }

    /// A whole number, which may be written with a fraction; the fraction is dropped.
    fn count(&self, name: &str) -> Result<u32, String> {
        self.number::<f64>(name).map(|value| value as u32)
    }

    /// A time, converted from ns to ms.
    fn time(&self, name: &str) -> Result<f64, String> {
        match self.number::<f64>(name)? {
            ns if ns >= 0.0 && ns.is_finite() => Ok(ns / 1e6),
            ns => Err(format!("expected a time for the setting {name}, found '{ns}'")),
        }
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        let text = self.text(name)?;
        flag(text).ok_or_else(|| format!("expected a flag for the setting {name}, found '{text}'"))
    }

    /// A flag that is false if it is missing.
    fn optional_flag(&self, name: &str) -> Result<bool, String> {
        match self.0.contains_key(name) {
            true => self.flag(name),
            false => Ok(false),
        }
    }

    /// The flag of one request class, from a list with a flag for each class.
    fn flag_at(&self, name: &str, index: u32) -> Result<bool, String> {
        let text = self.text(name)?;
        let item = text.split(',').nth(index as usize);
        item.and_then(flag).ok_or_else(|| format!("expected a flag for each class in {name}, found '{text}'"))
    }

    /// A setting whose text is one of the given words, as the value that belongs to the word.
    fn one_of<T: Copy>(&self, name: &str, choices: &[(&str, T)]) -> Result<T, String> {
        let text = self.text(name)?;
        let found = choices.iter().find(|(word, _)| *word == text);
        found.map(|(_, choice)| *choice).ok_or_else(|| {
            let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
            let words = words.join(" or ");
            format!("expected {words} for the setting {name}, found '{text}'")
        })
    }

    /// A new controller with these settings.
    pub fn steward(&self, seed: u64) -> Result<Controller, String> {
        let Start { post, products, channel, sidecars, warmup, roster, sums } = self.start(seed)?;
        Ok(Controller::new(post, products, channel, sidecars, warmup, roster, sums))
    }

    /// The bootstrap settings, for a subsystem that needs them without a controller.
    pub fn start(&self, seed: u64) -> Result<Start, String> {
        let s = self;
        let post = InstanceSettings {
            seed,
            zone: ZoneId(s.number("az")?),
            zone_count: s.text("dcs")?.split(',').count() as u16,
            controllers: s.count("balancers")?,
            proxies_by_zone: s.flag("familyInfo.zonal")?,
            slice_count: s.count("familyInfo.shards")?,
            may_probe: s.flag("policyLimits.mayProbe")?,
        };
        let products = s.product_facts()?;
        let channel = Channel {
            lines_per_s: s.number("familyInfo.egressPerS")?,
            message_overhead: s.number("familyInfo.overhead")?,
            max_backlog: s.number("familyInfo.backlog")?,
            max_messages: s.count("familyInfo.reloadsMax")?,
            message_window: s.time("familyInfo.messagesOver")?,
            typical_transit: s.time("familyInfo.propagation")?,
            max_transit: s.time("familyInfo.worstTransit")?,
        };
        let sidecars = ProxySettings {
            proxy_count: s.count("familyInfo.agents")?,
            bootstrap_hosts: s.count("familyInfo.bootstrap")?,
            max_time_without_host: s.time("familyInfo.emptyFor")?,
            level_kind: s.level_kind()?,
            default_tries: match s.count("familyInfo.defaultRetry")? {
                0 => RetryPolicy::One,
                1 => RetryPolicy::AfterProof,
                2 => RetryPolicy::AfterAny,
                _ => RetryPolicy::TwiceAfterAny,
            },
            try_factor: s.number("familyInfo.tryFactor")?,
        };
        let warmup = Warmup {
            initial_capacity: s.number("rules.coldFrom")?,
            duration: s.time("rules.warmWithin")?,
            failure_load: s.number("rules.fallMultiple")?,
            failure_after: s.time("rules.overloadFor")?,
        };
        let roster = HostListSettings {
            on_request: s.one_of("discovery", &[("on_request", true), ("pushed", false)])?,
            request_within: s.time("rules.askWithin")?,
            drain_grace: s.time("rules.drainGrace")?,
            removal_not_binding: s.optional_flag("rules.removalNotBinding")?,
        };
        let sums = s.sums()?;
        Ok(Start { post, products, channel, sidecars, warmup, roster, sums })
    }
}

fn flag(text: &str) -> Option<bool> {
    match text {
        "true" | "1" => Some(true),
        "false" | "0" => Some(false),
        _ => None,
    }
}

fn product(s: &Given, index: u32) -> Result<RequestClass, String> {
    let key = |name: &str| format!("classes.{index}.{name}");
    let effects = [
        ("free", Idempotency::Idempotent),
        ("guarded", Idempotency::Deduplicated),
        ("single_shot", Idempotency::NonIdempotent),
    ];
    let scopes = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Pod)];
    Ok(RequestClass {
        latency_target: s.time(&key("goalTime"))?,
        deadline: s.time(&key("deadline"))?,
        idempotency: s.one_of(&key("effect"), &effects)?,
        scope: s.one_of(&key("keyScope"), &scopes)?,
        dedup_window: s.time(&key("window"))?,
        value: s.number(&key("points"))?,
        late_value_fraction: s.number(&key("lateWorth"))?,
        home_zone_only: s.flag_at("familyInfo.classOwnZone", index)?,
        writes: s.flag_at("familyInfo.classWrites", index)?,
    })
}
