//! Load-balancing policies.

/// How a target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// A uniformly random target.
    Random,
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest outstanding attempts of this entry.
    LeastInFlight,
    /// The less loaded of two random targets, according to polled load reports.
    TwoChoices,
    /// The target with the lowest expected cost, where older reports count less.
    Bronzeport,
}

impl Policy {
    /// All policies with their names in the settings.
    pub const ALL: [(&str, Self); 5] = [
        ("random", Self::Random),
        ("round-robin", Self::RoundRobin),
        ("least-in-flight", Self::LeastInFlight),
        ("two-choices", Self::TwoChoices),
        ("bronzeport", Self::Bronzeport),
    ];
}

impl TryFrom<&str> for Policy {
    type Error = Box<str>;

    fn try_from(name: &str) -> Result<Self, Box<str>> {
        let found = Self::ALL.iter().find(|(known, _)| *known == name);
        found.map(|(_, policy)| *policy).ok_or_else(|| {
            let names: Vec<_> = Self::ALL.iter().map(|(name, _)| *name).collect();
            format!("expected one of {}", names.join(", ")).into()
        })
    }
}
