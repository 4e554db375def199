//! Races of an attempt's end with the start of another attempt, the end of a deduplication window and a
//! change of settings. They are tested next to the modules that they concern.
