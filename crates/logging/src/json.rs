//! A log record as one line of JSON: time, level, target, message, then its fields in their order.

use std::{
    fmt,
    io::{self, Write},
};

use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};

pub(crate) fn write_record(
    out: &mut impl Write,
    time: impl fmt::Display,
    record: &Record<'_>,
) -> io::Result<()> {
    let mut line = Line { out };
    write!(line.out, r#"{{"time":"{time}","level":"{}""#, record.level())?;
    line.field("target", record.target())?;
    line.field("message", &record.args().to_string())?;
    record.key_values().visit(&mut line).map_err(io::Error::other)?;
    line.out.write_all(b"}\n")
}

struct Line<'a, W> {
    out: &'a mut W,
}

impl<W: Write> Line<'_, W> {
    fn field(&mut self, name: &str, value: &str) -> io::Result<()> {
        let (name, value) = (serde_json::to_string(name)?, serde_json::to_string(value)?);
        write!(self.out, ",{name}:{value}")
    }

    fn bare(&mut self, name: &str, value: impl fmt::Display) -> io::Result<()> {
        let name = serde_json::to_string(name)?;
        write!(self.out, ",{name}:{value}")
    }
}

impl<'kvs, W: Write> VisitSource<'kvs> for Line<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let name = key.as_str();
        let written = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => self.bare(name, number),
            (None, Some(truth)) => self.bare(name, truth),
            (None, None) => self.field(name, &value.to_string()),
        };
        written.map_err(Error::boxed)
    }
}
