//! The settings of `ENLIST` as start facts.

use std::collections::HashMap;
use std::str::FromStr;

use amberarch_core::*;
use amberarch_policy::Steward;

struct Settings<'a>(HashMap<&'a str, &'a str>);

impl<'a> Settings<'a> {
    fn text(&self, name: &str) -> Result<&'a str, String> {
        let found = self.0.get(name).copied();
        found.ok_or_else(|| format!("expected the setting {name}, found none"))
    }

    fn number<T: FromStr>(&self, name: &str) -> Result<T, String> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("expected a number for the setting {name}, found '{text}'"))
    }

    /// Whole numbers may be written with a fraction.
    fn count(&self, name: &str) -> Result<u32, String> {
        self.number::<f64>(name).map(|value| value as u32)
    }

    fn time(&self, name: &str) -> Result<f64, String> {
        self.number::<f64>(name).map(|ns| ns / 1e6)
    }

    fn flag(&self, name: &str) -> Result<bool, String> {
        let text = self.text(name)?;
        flag(text).ok_or_else(|| format!("expected a flag for the setting {name}, found '{text}'"))
    }

    /// A flag that may be left out: then it does not hold.
    fn optional_flag(&self, name: &str) -> Result<bool, String> {
        match self.0.contains_key(name) {
            true => self.flag(name),
            false => Ok(false),
        }
    }

    fn flag_at(&self, name: &str, place: u32) -> Result<bool, String> {
        let text = self.text(name)?;
        let part = text.split(',').nth(place as usize);
        part.and_then(flag).ok_or_else(|| format!("expected a flag for each class in {name}, found '{text}'"))
    }

    fn one_of<T: Copy>(&self, name: &str, choices: &[(&str, T)]) -> Result<T, String> {
        let text = self.text(name)?;
        let found = choices.iter().find(|(word, _)| *word == text);
        found.map(|(_, choice)| *choice).ok_or_else(|| {
            let words: Vec<&str> = choices.iter().map(|(word, _)| *word).collect();
            let words = words.join(" or ");
            format!("expected {words} for the setting {name}, found '{text}'")
        })
    }
}

fn flag(text: &str) -> Option<bool> {
    match text {
        "true" | "1" => Some(true),
        "false" | "0" => Some(false),
        _ => None,
    }
}

pub fn steward<'a>(seed: u64, pairs: impl Iterator<Item = &'a str>) -> Result<Box<dyn Decide>, String> {
    let mut settings = Settings(HashMap::new());
    for pair in pairs.filter(|pair| !pair.is_empty()) {
        let split = pair.split_once('=');
        let (path, value) = split.ok_or_else(|| format!("expected path=value, found '{pair}'"))?;
        settings.0.insert(path, value);
    }
    let s = &settings;
    let post = Post {
        seed,
        zone: ZoneId(s.number("az")?),
        zones: s.text("dcs")?.split(',').count() as u16,
        stewards: s.count("balancers")?,
        by_zone: s.flag("familyInfo.zonal")?,
        slices: s.count("familyInfo.shards")?,
        may_probe: s.flag("policyLimits.mayProbe")?,
    };
    let products =
        (0..s.count("classes.count")?).map(|place| product(s, place)).collect::<Result<Vec<_>, _>>()?;
    let channel = Channel {
        lines_per_s: s.number("familyInfo.egressPerS")?,
        head: s.number("familyInfo.overhead")?,
        backlog: s.number("familyInfo.backlog")?,
        messages: s.count("familyInfo.reloadsMax")?,
        messages_over: s.time("familyInfo.messagesOver")?,
        transit: s.time("familyInfo.propagation")?,
        transit_worst: s.time("familyInfo.worstTransit")?,
    };
    let sidecars = Sidecars {
        count: s.count("familyInfo.agents")?,
        standing: s.count("familyInfo.bootstrap")?,
        bare_for: s.time("familyInfo.emptyFor")?,
        levels: s.one_of(
            "familyInfo.levelKind",
            &[("off", LevelKind::Off), ("fraction", LevelKind::Share), ("per_second", LevelKind::Rate)],
        )?,
        usual_tries: match s.count("familyInfo.defaultRetry")? {
            0 => Tries::One,
            1 => Tries::AfterProof,
            2 => Tries::AfterAny,
            _ => Tries::TwiceAfterAny,
        },
        try_wait: s.number("familyInfo.tryFactor")?,
    };
    let warmup = Warmup {
        from: s.number("rules.coldFrom")?,
        within: s.time("rules.warmWithin")?,
        multiple: s.number("rules.fallMultiple")?,
        fall_after: s.time("rules.overloadFor")?,
    };
    let roster = Roster {
        asked: s.one_of("discovery", &[("on_request", true), ("pushed", false)])?,
        ask_within: s.time("rules.askWithin")?,
        grace: s.time("rules.drainGrace")?,
        removal_not_binding: s.optional_flag("rules.removalNotBinding")?,
    };
    let sums =
        Sums { every: s.time("familyInfo.reportEvery")?, lines_per_s: s.number("familyInfo.reportsPerS")? };
    Ok(Box::new(Steward::new(post, products, channel, sidecars, warmup, roster, sums)))
}

fn product(s: &Settings, place: u32) -> Result<Product, String> {
    let key = |name: &str| format!("classes.{place}.{name}");
    let effects =
        [("free", Effect::InquiryLike), ("guarded", Effect::Referenced), ("single_shot", Effect::OnceOnly)];
    let scopes = [("all", Scope::All), ("zone", Scope::Zone), ("cell", Scope::Pod)];
    Ok(Product {
        sla: s.time(&key("goalTime"))?,
        expiry: s.time(&key("deadline"))?,
        effect: s.one_of(&key("effect"), &effects)?,
        scope: s.one_of(&key("keyScope"), &scopes)?,
        window: s.time(&key("window"))?,
        revenue: s.number(&key("points"))?,
        late_part: s.number(&key("lateWorth"))?,
        own_zone: s.flag_at("familyInfo.classOwnZone", place)?,
        writes: s.flag_at("familyInfo.classWrites", place)?,
    })
}
