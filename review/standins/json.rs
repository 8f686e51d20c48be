//! A small JSON reader and writer. Numbers are kept as they were written.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|it| it.0 == name).map(|it| &it.1),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    /// A whole number, exactly.
    pub fn whole(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn write(&self) -> String {
        match self {
            Json::Null => "null".to_owned(),
            Json::Bool(it) => it.to_string(),
            Json::Number(it) => it.clone(),
            Json::Text(it) => quote(it),
            Json::List(items) => {
                let items: Vec<String> = items.iter().map(Json::write).collect();
                format!("[{}]", items.join(","))
            }
            Json::Table(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(name, it)| format!("{}:{}", quote(name), it.write()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for it in text.chars() {
        match it {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            it if (it as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", it as u32)),
            it => out.push(it),
        }
    }
    out + "\""
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(text.as_bytes()).then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.sequence(b']', Parser::value).map(Json::List),
            b'{' => self
                .sequence(b'}', |it| {
                    it.space();
                    let name = it.string()?;
                    it.space();
                    it.eat(":")?;
                    Some((name, it.value()?))
                })
                .map(Json::Table),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Number(text.to_owned()))
            }
        }
    }

    fn sequence<T>(&mut self, end: u8, item: impl Fn(&mut Self) -> Option<T>) -> Option<Vec<T>> {
        self.at += 1;
        let mut items = Vec::new();
        loop {
            self.space();
            if *self.bytes.get(self.at)? == end {
                self.at += 1;
                return Some(items);
            }
            if !items.is_empty() {
                self.eat(",")?;
            }
            items.push(item(self)?);
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut out = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let escape = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    let plain = match escape {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        b'b' => 8,
                        b'f' => 12,
                        b'u' => {
                            let hex =
                                std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            let code = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            self.at += 4;
                            out.extend(code.to_string().bytes());
                            continue;
                        }
                        it => it,
                    };
                    out.push(plain);
                }
                it => {
                    out.push(it);
                    self.at += 1;
                }
            }
        }
    }
}
