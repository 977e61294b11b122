//! The organisations on whose behalf requests are sent.

/// An organisation, as the operators configure it.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name, unique in its table.
    pub name: Box<str>,
    /// Priority of the organisation's requests, which goes before the rank of their path rule;
    /// 0 is the most urgent.
    pub priority: u8,
    /// Limit on the organisation's requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// Limit on the requests of an organisation, summed over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub per_second: f64,
    /// Number of requests that may come at once after a time without any.
    pub burst: f64,
}
