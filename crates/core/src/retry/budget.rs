//! A budget that keeps retries a small share of the requests, so that they never feed an overload.

/// How many retries are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries earned by each request; 0.2 allows one retry for five requests.
    pub ratio: f64,
    /// Most retries that can be saved up.
    pub ceiling: f64,
    /// Retries held at the start.
    pub initial: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            ceiling: 100.0,
            initial: 20.0,
        }
    }
}

/// Token bucket that is filled by requests and emptied by retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    balance: f64,
}

impl RetryBudget {
    /// A bucket that holds the initial retries.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            balance: settings.initial.min(settings.ceiling),
        }
    }

    /// Counts one request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.settings.ratio).min(self.settings.ceiling);
    }

    /// Takes one retry if the budget holds it.
    pub fn withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
