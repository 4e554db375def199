//! Saved files, which keep a node's state on disk over restarts: one JSON value in each file, with a checksum
//! and the time at which it was written. A file is replaced atomically. The type of the value is the
//! caller's. A broken file is reported as an error and left in place.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The first words of a file: the file type and the version of its format.
const FORMAT: &str = "sillward-kept 1";
/// The longest file that is read, in bytes: 9,800 members take half of it.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Why a saved file can't be used.
#[derive(Debug)]
pub enum SavedFileError {
    /// The file can't be opened or read.
    Io(io::Error),
    /// The file is not a saved file, or it is truncated or changed.
    Broken(&'static str),
    /// The value does not have the expected type.
    Content(serde_json::Error),
}

impl std::fmt::Display for SavedFileError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SavedFileError::Io(e) => write!(out, "{e}"),
            SavedFileError::Broken(what) => write!(out, "{what}; remove the file to start without it"),
            SavedFileError::Content(e) => write!(out, "its content does not have the expected form: {e}"),
        }
    }
}

/// A value that an earlier process saved.
#[derive(Debug, PartialEq)]
pub struct SavedValue<T> {
    /// The value.
    pub value: T,
    /// The time since it was written; `None` if that is in the future, because the clock has been set back
    /// since.
    pub age: Option<Duration>,
}

/// The Unix time in ms.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Loads the value that an earlier process saved in this file; `None` if there is no file.
///
/// # Errors
/// If the file can't be read, or its length, checksum or content is wrong.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<Option<SavedValue<T>>, SavedFileError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(SavedFileError::Io(e)),
    };
    let mut data = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut data).map_err(SavedFileError::Io)?;
    if data.len() as u64 > MAX_FILE_BYTES {
        return Err(SavedFileError::Broken("it is longer than any saved file"));
    }
    let text = std::str::from_utf8(&data).map_err(|_| SavedFileError::Broken("it is not UTF-8 text"))?;
    let (header, body) =
        text.split_once('\n').ok_or(SavedFileError::Broken("it is cut off in its first line"))?;
    let fields = header
        .strip_prefix(FORMAT)
        .ok_or(SavedFileError::Broken("it is not a saved file of this version"))?;
    let mut words = fields.split_whitespace();
    let mut number = |radix| words.next().and_then(|word| u64::from_str_radix(word, radix).ok());
    let (Some(checksum), Some(written_ms)) = (number(16), number(10)) else {
        return Err(SavedFileError::Broken("its first line is incomplete"));
    };
    if checksum != u64::from(crc32fast::hash(body.as_bytes())) {
        return Err(SavedFileError::Broken("its checksum does not fit: it is cut off or changed"));
    }
    let value = serde_json::from_str(body).map_err(SavedFileError::Content)?;
    Ok(Some(SavedValue { value, age: unix_ms().checked_sub(written_ms).map(Duration::from_millis) }))
}

/// Replaces the file atomically: after a crash or power loss at any time it is complete, with either the old
/// or the new value. The data reaches the disk before the rename.
///
/// # Errors
/// If the value can't be serialized, or the file or its folder can't be written.
pub fn save<T: Serialize>(path: &Path, value: &T) -> io::Result<()> {
    let body = serde_json::to_string(value)?;
    let mut temporary = PathBuf::from(path).into_os_string();
    temporary.push(".new");
    let mut file = File::create(&temporary)?;
    writeln!(file, "{FORMAT} {:08x} {}", crc32fast::hash(body.as_bytes()), unix_ms())?;
    file.write_all(body.as_bytes())?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    // The rename is durable only once the folder is synced too.
    match path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_file_that_is_truncated_or_changed_is_reported_as_broken() {
        let folder = std::env::temp_dir().join(format!("sillward-kept-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let path = folder.join("list");
        assert!(load::<Vec<u32>>(&path).unwrap().is_none());
        save(&path, &vec![1, 2, 3]).unwrap();
        save(&path, &vec![1, 2, 3, 4]).unwrap();
        let loaded = load::<Vec<u32>>(&path).unwrap().unwrap();
        assert_eq!(loaded.value, [1, 2, 3, 4]);
        let intact = fs::read(&path).unwrap();
        // Truncation at any length and a change of any byte of the content are detected.
        for length in 0..intact.len() {
            fs::write(&path, &intact[..length]).unwrap();
            assert!(matches!(load::<Vec<u32>>(&path), Err(SavedFileError::Broken(_))), "{length}");
        }
        let line_end = intact.iter().position(|byte| *byte == b'\n').unwrap();
        for at in line_end + 1..intact.len() {
            let mut changed = intact.clone();
            changed[at] ^= 1;
            fs::write(&path, &changed).unwrap();
            assert!(matches!(load::<Vec<u32>>(&path), Err(SavedFileError::Broken(_))), "{at}");
        }
        fs::write(&path, &intact).unwrap();
        assert!(matches!(load::<Vec<String>>(&path), Err(SavedFileError::Content(_))));
        // A file from the future, as after the clock was set back.
        let text = String::from_utf8(intact).unwrap();
        let written = text.lines().next().unwrap().rsplit_once(' ').unwrap().1;
        fs::write(&path, text.replacen(written, &u64::MAX.to_string(), 1)).unwrap();
        assert_eq!(load::<Vec<u32>>(&path).unwrap().unwrap().age, None);
        // A folder that does not exist.
        assert!(save(&folder.join("none/list"), &1).is_err());
        fs::remove_dir_all(&folder).unwrap();
    }
}
