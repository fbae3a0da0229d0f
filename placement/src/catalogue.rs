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
    pub fn max_concurrent_loads(&self) -> usize {
        const LEAST: f64 = 2.0;
        const MOST: f64 = 4_096.0;
        let sum: f64 = self.models.iter().map(|model| model.load_time_s).sum();
        let under_way = (self.load_per_s * sum / self.models.len().max(1) as f64).round();
        if under_way.is_finite() {
            under_way.clamp(LEAST, MOST) as usize
        } else {
            LEAST as usize
        }
    }

    /// Models that a server holds in the mean where all models are put onto as few servers as possible, the largest
    /// that fits next.
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

    /// The models that a server can hold by their sizes, the largest first, with how many there are of each.
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

    /// The size of the largest model, in MB.
    pub fn largest_model_mb(&self) -> f64 {
        self.models.iter().map(|model| model.weights_mb).fold(0.0, f64::max)
    }
}

/// Takes the models that fit onto one server, the largest first; how many.
fn fill_server(room_mb: f64, sizes: &mut [(f64, u32)]) -> u32 {
    let (mut room, mut placed) = (room_mb, 0);
    for (size, count) in sizes.iter_mut().filter(|(_, count)| *count > 0) {
        let fit = ((room / *size) as u32).min(*count);
        (room, placed) = (room - f64::from(fit) * *size, placed + fit);
        *count -= fit;
    }
    placed
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
