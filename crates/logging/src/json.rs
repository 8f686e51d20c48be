//! Formats a log record as one line of JSON: time, level, target, message, then its key-value pairs in order.

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
    let mut line = JsonLine { out };
    write!(line.out, r#"{{"time":"{time}","level":"{}""#, record.level())?;
    line.write_string("target", record.target())?;
    line.write_string("message", &record.args().to_string())?;
    record.key_values().visit(&mut line).map_err(io::Error::other)?;
    line.out.write_all(b"}\n")
}

struct JsonLine<'a, W> {
    out: &'a mut W,
}

impl<W: Write> JsonLine<'_, W> {
    fn write_string(&mut self, name: &str, value: &str) -> io::Result<()> {
        let (name, value) = (serde_json::to_string(name)?, serde_json::to_string(value)?);
        write!(self.out, ",{name}:{value}")
    }

    fn write_unquoted(&mut self, name: &str, value: impl fmt::Display) -> io::Result<()> {
        let name = serde_json::to_string(name)?;
        write!(self.out, ",{name}:{value}")
    }
}

impl<'kvs, W: Write> VisitSource<'kvs> for JsonLine<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let name = key.as_str();
        let result = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => self.write_unquoted(name, number),
            (None, Some(boolean)) => self.write_unquoted(name, boolean),
            (None, None) => self.write_string(name, &value.to_string()),
        };
        result.map_err(Error::boxed)
    }
}
