//! The part of a service's configuration that the planner uses: its models, the capacity of its servers and the load
//! rate of the weight store.

/// Lower bound of [`Catalogue::max_concurrent_loads`].
const MIN_CONCURRENT_LOADS: f64 = 2.0;
/// Upper bound of [`Catalogue::max_concurrent_loads`].
const MAX_CONCURRENT_LOADS: f64 = 4_096.0;

/// The configuration of one model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSpec {
    /// The model's name, unique within the service.
    pub name: String,
    /// Size of the weights, in MB.
    pub weights_mb: f64,
    /// Time to load the model from the weight store at full speed, in seconds.
    pub load_time_s: f64,
    /// Number of adapters, which are named `a1`, `a2` and so on.
    pub adapters: u32,
    /// Size of each adapter, in MB.
    pub adapter_size_mb: f64,
}

/// The models of a service and the capacity of each of its servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    /// The models that the servers may load.
    pub models: Vec<ModelSpec>,
    /// Capacity of one server for model weights and adapters together, in MB.
    pub weights_mb: f64,
    /// Maximum number of adapters on one server, over all of its models.
    pub adapter_capacity: u32,
    /// Maximum rate of loads from the weight store over all servers, in loads per second.
    pub load_per_s: f64,
}

impl Catalogue {
    /// Returns the number of concurrent loads that the weight store is expected to serve at full speed. By Little's law
    /// this is the load rate times the mean load time; it is clamped to between 2 and 4,096.
    pub fn max_concurrent_loads(&self) -> usize {
        let sum: f64 = self.models.iter().map(|model| model.load_time_s).sum();
        let in_flight = (self.load_per_s * sum / self.models.len().max(1) as f64).round();
        if in_flight.is_finite() {
            in_flight.clamp(MIN_CONCURRENT_LOADS, MAX_CONCURRENT_LOADS) as usize
        } else {
            MIN_CONCURRENT_LOADS as usize
        }
    }

    /// Returns the mean number of models per server when all models are packed onto few servers by first-fit
    /// decreasing; 0 if no model fits on a server.
    pub fn model_slots_per_server(&self) -> f64 {
        let mut sizes = self.sizes();
        let (mut models, mut servers) = (0, 0);
        loop {
            let placed = fill_server(self.weights_mb, &mut sizes);
            if placed == 0 {
                break;
            }
            models += placed;
            servers += 1;
        }
        f64::from(models) / f64::from(servers.max(1))
    }

    /// Returns the distinct sizes of the models that fit on a server, in MB and in decreasing order, each with the
    /// number of models of that size.
    fn sizes(&self) -> Vec<(f64, u32)> {
        let fits = |size: &f64| *size > 0.0 && *size <= self.weights_mb;
        let mut all: Vec<f64> = self.models.iter().map(|model| model.weights_mb).filter(fits).collect();
        all.sort_by(|one, other| other.total_cmp(one));
        let mut sizes: Vec<(f64, u32)> = Vec::new();
        for size in all {
            match sizes.last_mut().filter(|(last, _)| *last == size) {
                Some((_, count)) => *count += 1,
                None => sizes.push((size, 1)),
            }
        }
        sizes
    }

    /// Returns the size of the largest model in MB, or 0 if there are no models.
    pub fn largest_model_mb(&self) -> f64 {
        self.models.iter().map(|model| model.weights_mb).fold(0.0, f64::max)
    }
}

/// Fills one server with models, largest first, and subtracts them from the counts in `sizes`. Returns the number of
/// models placed.
fn fill_server(capacity_mb: f64, sizes: &mut [(f64, u32)]) -> u32 {
    let (mut free_mb, mut placed) = (capacity_mb, 0);
    for (size, count) in sizes.iter_mut().filter(|(_, count)| *count > 0) {
        let fit = ((free_mb / *size) as u32).min(*count);
        free_mb -= f64::from(fit) * *size;
        placed += fit;
        *count -= fit;
    }
    placed
}

/// Parses an adapter's name into its number, such as `a3` into 3; `None` if the name is not `a` followed by a positive
/// number without leading zeros.
pub fn adapter_number(name: &str) -> Option<u32> {
    let digits = name.strip_prefix('a')?;
    digits.parse().ok().filter(|number: &u32| *number > 0 && adapter_name(*number) == name)
}

/// Formats an adapter's number as its name, such as 3 as `a3`.
pub fn adapter_name(number: u32) -> String {
    format!("a{number}")
}
