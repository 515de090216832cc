//! JSON and base64, as far as the store's calls need them.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Json> {
    let chars: Vec<char> = text.chars().collect();
    let mut at = 0;
    value(&chars, &mut at)
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let key = string(chars, at)?;
                        skip_space(chars, at);
                        *at += 1;
                        fields.insert(key, value(chars, at)?);
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(value(chars, at)?),
                }
            }
        }
        '"' => string(chars, at).map(Json::Text),
        't' => word(chars, at, "true", Json::Bool(true)),
        'f' => word(chars, at, "false", Json::Bool(false)),
        'n' => word(chars, at, "null", Json::Null),
        _ => {
            let from = *at;
            while chars
                .get(*at)
                .is_some_and(|c| "+-.eE0123456789".contains(*c))
            {
                *at += 1;
            }
            let number: String = chars[from..*at].iter().collect();
            number.parse().ok().map(Json::Number)
        }
    }
}

fn word(chars: &[char], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    let len = word.chars().count();
    let found: String = chars.get(*at..*at + len)?.iter().collect();
    *at += len;
    (found == word).then_some(value)
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    if chars.get(*at)? != &'"' {
        return None;
    }
    *at += 1;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let code: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        let code = u32::from_str_radix(&code, 16).ok()?;
                        text.push(char::from_u32(code)?);
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                let sextet = bits >> (18 - 6 * index) & 63;
                text.push(ALPHABET[sextet as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut len) = (0u32, 0);
    for c in text.bytes() {
        let Some(sextet) = ALPHABET.iter().position(|a| *a == c) else {
            continue;
        };
        bits = bits << 6 | sextet as u32;
        len += 6;
        if len >= 8 {
            len -= 8;
            bytes.push((bits >> len & 255) as u8);
        }
    }
    bytes
}
