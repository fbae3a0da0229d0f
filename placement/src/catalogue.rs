//! What the operator's configuration says about a service's models and servers.

/// One model of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: String,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// How long a load from the weight store takes, in seconds.
    pub load_time_s: f64,
    /// Adapters that there are, named `a1`, `a2` and so on.
    pub adapters: u32,
    /// Size of each of its adapters, in MB.
    pub adapter_size_mb: f64,
}

/// The models of a service and what each of its servers can hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// The models.
    pub models: Vec<ModelSpec>,
    /// Room of a server for weights and adapters together, in MB.
    pub weights_mb: f64,
    /// Adapters that a server can hold, over all of its models.
    pub adapter_capacity: u32,
    /// Loads a second that the weight store allows over all servers.
    pub load_per_s: f64,
}

impl Catalogue {
    /// Loads that the store likely serves at once at full speed: as many as its rate keeps under way.
    pub fn loads_at_once(&self) -> usize {
        const LEAST: f64 = 2.0;
        const MOST: f64 = 64.0;
        let slowest = self.models.iter().map(|model| model.load_time_s).fold(0.0, f64::max);
        (self.load_per_s * slowest).ceil().clamp(LEAST, MOST) as usize
    }

    /// Models of the usual size that one server holds.
    pub fn places(&self) -> usize {
        let total: f64 = self.models.iter().map(|model| model.weights_mb).sum();
        let mean = total / self.models.len().max(1) as f64;
        if mean > 0.0 {
            (self.weights_mb / mean).clamp(0.0, 1024.0) as usize
        } else {
            0
        }
    }

    /// The size of the largest model, in MB.
    pub fn largest_mb(&self) -> f64 {
        self.models.iter().map(|model| model.weights_mb).fold(0.0, f64::max)
    }
}

/// The number in an adapter's name: 3 for `a3`.
pub fn adapter_number(name: &str) -> Option<u32> {
    let digits = name.strip_prefix('a')?;
    digits.parse().ok().filter(|number: &u32| *number > 0 && adapter_name(*number) == name)
}

/// The name of an adapter: `a3` for 3.
pub fn adapter_name(number: u32) -> String {
    format!("a{number}")
}
