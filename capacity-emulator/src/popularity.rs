//! How requests spread over the busy models.

/// A Zipf distribution of requests over models: the n-th model is asked for 1/n as often as the first.
#[derive(Clone, Debug)]
pub struct Popularity {
    /// The sums of the weights 1/n up to each rank.
    cumulative_weights: Vec<f64>,
}

impl Popularity {
    /// A distribution over this many models.
    pub fn of(count: usize) -> Self {
        let mut sum = 0.0;
        let cumulative_weights = (1..=count).map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        });
        Popularity { cumulative_weights: cumulative_weights.collect() }
    }

    /// The rank at a quantile of the distribution, from 0 to 1.
    pub fn pick(&self, quantile: f64) -> usize {
        let total = self.cumulative_weights.last().copied().unwrap_or_default();
        self.cumulative_weights
            .partition_point(|weight| *weight < quantile * total)
            .min(self.cumulative_weights.len().saturating_sub(1))
    }

    /// The fraction of requests for the model of a rank; 0 beyond the last one.
    pub fn share(&self, rank: usize) -> f64 {
        if rank >= self.cumulative_weights.len() {
            return 0.0;
        }
        let total = self.cumulative_weights.last().copied().unwrap_or(1.0);
        1.0 / (rank as f64 + 1.0) / total
    }
}
