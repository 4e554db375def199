//! What a node keeps on disk from one life to the next: one JSON value a file, replaced whole or not at all, with a
//! checksum and the time at which it was written. It knows nothing of what it keeps, and a file that is broken is said to
//! be so and left where it is.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The first words of a file: what it is, and in which form.
const FORM: &str = "sillward-kept 1";
/// A longer file is not read, in bytes: 9,800 members take half of it.
const LONGEST: u64 = 4 << 20;

/// Why there is nothing to begin with.
#[derive(Debug)]
pub enum SavedFileError {
    /// The file can't be read or written.
    Io(io::Error),
    /// It is no such file, or cut off, or changed.
    Broken(&'static str),
    /// What it holds is not what was expected.
    Content(serde_json::Error),
}

impl std::fmt::Display for SavedFileError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SavedFileError::Io(e) => write!(out, "{e}"),
            SavedFileError::Broken(what) => write!(out, "{what}; remove the file to do without it"),
            SavedFileError::Content(e) => write!(out, "its content is not what was expected: {e}"),
        }
    }
}

/// A value from an earlier life, and how old it is; `None` if the clock has been set back since it was written.
#[derive(Debug, PartialEq)]
pub struct SavedValue<T> {
    /// The value.
    pub value: T,
    /// Its age.
    pub age: Option<Duration>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What an earlier life has left in this file; `None` if there is no file.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<Option<SavedValue<T>>, SavedFileError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(SavedFileError::Io(e)),
    };
    let mut data = Vec::new();
    file.take(LONGEST + 1).read_to_end(&mut data).map_err(SavedFileError::Io)?;
    if data.len() as u64 > LONGEST {
        return Err(SavedFileError::Broken("it is longer than any such file"));
    }
    let text = std::str::from_utf8(&data).map_err(|_| SavedFileError::Broken("it is no text"))?;
    let (head, body) = text.split_once('\n').ok_or(SavedFileError::Broken("it is cut off"))?;
    let rest = head.strip_prefix(FORM).ok_or(SavedFileError::Broken("it is no file of this kind"))?;
    let mut words = rest.split_whitespace();
    let mut number = |radix| words.next().and_then(|word| u64::from_str_radix(word, radix).ok());
    let (Some(sum), Some(written)) = (number(16), number(10)) else {
        return Err(SavedFileError::Broken("its first line is not whole"));
    };
    if sum != u64::from(crc32fast::hash(body.as_bytes())) {
        return Err(SavedFileError::Broken("its checksum does not fit: it is cut off or changed"));
    }
    let value = serde_json::from_str(body).map_err(SavedFileError::Content)?;
    Ok(Some(SavedValue { value, age: unix_ms().checked_sub(written).map(Duration::from_millis) }))
}

/// Replaces the file. Whatever fails or whenever the power goes, the file is whole, as before or as now.
pub fn save<T: Serialize>(path: &Path, value: &T) -> io::Result<()> {
    let body = serde_json::to_string(value)?;
    let mut new = PathBuf::from(path).into_os_string();
    new.push(".new");
    let mut file = File::create(&new)?;
    writeln!(file, "{FORM} {:08x} {}", crc32fast::hash(body.as_bytes()), unix_ms())?;
    file.write_all(body.as_bytes())?;
    file.sync_all()?;
    fs::rename(&new, path)?;
    // The name lasts once the folder is written.
    match path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_is_whole_or_said_to_be_broken() {
        let folder = std::env::temp_dir().join(format!("sillward-kept-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let path = folder.join("list");
        assert!(load::<Vec<u32>>(&path).unwrap().is_none());
        save(&path, &vec![1, 2, 3]).unwrap();
        save(&path, &vec![1, 2, 3, 4]).unwrap();
        let kept = load::<Vec<u32>>(&path).unwrap().unwrap();
        assert_eq!(kept.value, [1, 2, 3, 4]);
        let whole = fs::read(&path).unwrap();
        // Whatever is missing at the end, and whichever byte of the content is another, is found.
        for length in 0..whole.len() {
            fs::write(&path, &whole[..length]).unwrap();
            assert!(matches!(load::<Vec<u32>>(&path), Err(SavedFileError::Broken(_))), "{length}");
        }
        let line = whole.iter().position(|byte| *byte == b'\n').unwrap();
        for at in line + 1..whole.len() {
            let mut changed = whole.clone();
            changed[at] ^= 1;
            fs::write(&path, &changed).unwrap();
            assert!(matches!(load::<Vec<u32>>(&path), Err(SavedFileError::Broken(_))), "{at}");
        }
        fs::write(&path, &whole).unwrap();
        assert!(matches!(load::<Vec<String>>(&path), Err(SavedFileError::Content(_))));
        // Written in the future, as a clock that is set back has it.
        let text = String::from_utf8(whole).unwrap();
        let written = text.lines().next().unwrap().rsplit_once(' ').unwrap().1;
        fs::write(&path, text.replacen(written, &u64::MAX.to_string(), 1)).unwrap();
        assert_eq!(load::<Vec<u32>>(&path).unwrap().unwrap().age, None);
        // A folder that is not there.
        assert!(save(&folder.join("none/list"), &1).is_err());
        fs::remove_dir_all(&folder).unwrap();
    }
}
