//! Problems found in a configuration file, each with its position.

use std::fmt;

/// One problem in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Name of the file, as given by the caller.
    pub file: Box<str>,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Description of the problem, including the key.
    pub text: Box<str>,
}

/// All findings of one file, ordered by position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings {
    /// The findings; never empty.
    pub list: Vec<Finding>,
}

impl Finding {
    pub(crate) fn at(file: &str, text: &str, offset: usize, message: impl Into<Box<str>>) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            file: file.into(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            text: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, column, text } = self;
        write!(f, "{file}:{line}:{column}: {text}")
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
