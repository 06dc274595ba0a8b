//! The fields of one line, taken from left to right.

pub struct Fields<'a> {
    rest: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    pub fn new(text: &'a str) -> Self {
        Fields { rest: text.split(' ') }
    }

    pub fn word(&mut self) -> &'a str {
        self.rest.next().unwrap_or("")
    }

    pub fn text(&mut self, name: &str) -> Result<&'a str, String> {
        match self.rest.next() {
            Some(part) if !part.is_empty() => Ok(part),
            _ => Err(format!("expected {name}, found the end of the line")),
        }
    }

    pub fn number<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, String> {
        let part = self.text(name)?;
        part.parse().map_err(|_| format!("expected a number for {name}, found '{part}'"))
    }

    pub fn real(&mut self, name: &str) -> Result<f64, String> {
        let part = self.text(name)?;
        match part.parse::<f64>() {
            Ok(value) if value.is_finite() => Ok(value),
            _ => Err(format!("expected a number for {name}, found '{part}'")),
        }
    }

    /// Nanoseconds on the wire, milliseconds here.
    pub fn time(&mut self, name: &str) -> Result<f64, String> {
        let ns: i64 = self.number(name)?;
        Ok(ns as f64 / 1e6)
    }

    /// As `time`; `None` where the field is `-`.
    pub fn maybe_time(&mut self, name: &str) -> Result<Option<f64>, String> {
        let part = self.text(name)?;
        if part == "-" {
            return Ok(None);
        }
        Fields::new(part).time(name).map(Some)
    }

    pub fn flag(&mut self, name: &str) -> Result<bool, String> {
        match self.text(name)? {
            "0" => Ok(false),
            "1" => Ok(true),
            other => Err(format!("expected 0 or 1 for {name}, found '{other}'")),
        }
    }

    pub fn remaining(self) -> impl Iterator<Item = &'a str> {
        self.rest
    }
}
