//! The distribution of client requests over busy models.

/// A Zipf distribution: the model of rank n (from 1) receives 1/n as many requests as the most popular one.
#[derive(Clone, Debug)]
pub struct Popularity {
    /// Cumulative sums of the weights 1/n, by rank.
    cumulative_weights: Vec<f64>,
}

impl Popularity {
    /// A distribution over `count` models.
    pub fn of(count: usize) -> Self {
        let mut sum = 0.0;
        let cumulative_weights = (1..=count).map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        });
        Popularity { cumulative_weights: cumulative_weights.collect() }
    }

    /// The rank, counted from 0, at a quantile between 0 and 1.
    pub fn rank_at_quantile(&self, quantile: f64) -> usize {
        let total = self.cumulative_weights.last().copied().unwrap_or_default();
        self.cumulative_weights
            .partition_point(|weight| *weight < quantile * total)
            .min(self.cumulative_weights.len().saturating_sub(1))
    }

    /// The fraction of requests for the model of a rank, counted from 0; 0 for ranks beyond the last model.
    pub fn request_fraction(&self, rank: usize) -> f64 {
        if rank >= self.cumulative_weights.len() {
            return 0.0;
        }
        let total = self.cumulative_weights.last().copied().unwrap_or(1.0);
        1.0 / (rank as f64 + 1.0) / total
    }
}
