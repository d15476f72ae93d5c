//! Who asks for what, and how often over time.

use jacinthpoint_types::Priority;

/// Share of one priority class in an organisation's requests, with the lengths it asks for.
#[derive(Debug, Clone)]
pub struct ClassShape {
    /// The class.
    pub priority: Priority,
    /// Share of the organisation's requests, relative to its other classes.
    pub weight: f64,
    /// Mean length of a prompt.
    pub prompt_tokens: f64,
    /// Mean length of an answer.
    pub answer_tokens: f64,
    /// Time from arrival to the deadline of the whole answer.
    pub patience_ms: u64,
}

/// One organisation of a shape.
#[derive(Debug, Clone)]
pub struct OrganisationShape {
    /// Its name.
    pub name: String,
    /// Share of all requests, relative to the other organisations.
    pub weight: f64,
    /// Its classes.
    pub classes: Vec<ClassShape>,
    /// Conversations whose prompts share a prefix.
    pub prefixes: u32,
}

/// A rise of the arrival rate for a time.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    /// Start.
    pub from_ms: u64,
    /// End.
    pub until_ms: u64,
    /// Factor on the rate.
    pub factor: f64,
}

/// A mix of organisations, and bursts.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The organisations.
    pub organisations: Vec<OrganisationShape>,
    /// Bursts over all of them.
    pub bursts: Vec<Burst>,
}

/// Organisations of either user.
const ORGANISATIONS: usize = 10;

impl Shape {
    /// Broker desks: short questions while a buyer waits, enquiries that are critical, and
    /// reports in the background.
    pub fn coralbank() -> Shape {
        let classes = vec![
            class(Priority::Critical, 0.10, 300.0, 60.0, 6_000),
            class(Priority::High, 0.50, 400.0, 80.0, 6_000),
            class(Priority::Normal, 0.25, 800.0, 120.0, 12_000),
            class(Priority::Batch, 0.15, 1_500.0, 200.0, 60_000),
        ];
        Shape::of("broker", &classes)
    }

    /// Logbook notes and landing declarations, with a queue at dawn.
    pub fn tongyeong() -> Shape {
        let classes = vec![
            class(Priority::Critical, 0.20, 250.0, 90.0, 10_000),
            class(Priority::High, 0.30, 350.0, 60.0, 10_000),
            class(Priority::Normal, 0.40, 500.0, 90.0, 20_000),
            class(Priority::Batch, 0.10, 1_200.0, 150.0, 60_000),
        ];
        Shape::of("harbour", &classes)
    }

    /// The same shape with a burst.
    pub fn with_burst(mut self, from_ms: u64, until_ms: u64, factor: f64) -> Shape {
        self.bursts.push(Burst {
            from_ms,
            until_ms,
            factor,
        });
        self
    }

    /// Factor on the rate at a time.
    pub fn factor_at(&self, at_ms: u64) -> f64 {
        let is_on = |burst: &&Burst| (burst.from_ms..burst.until_ms).contains(&at_ms);
        let on = self.bursts.iter().filter(is_on);
        on.map(|burst| burst.factor).product()
    }

    /// The largest factor of any time.
    pub fn max_factor(&self) -> f64 {
        let starts = self.bursts.iter().map(|burst| burst.from_ms);
        starts
            .map(|at_ms| self.factor_at(at_ms))
            .fold(1.0, f64::max)
    }

    /// Ten organisations; the first three send half of all requests.
    fn of(name: &str, classes: &[ClassShape]) -> Shape {
        let organisations = (1..=ORGANISATIONS).map(|number| OrganisationShape {
            name: format!("{name}-{number}"),
            weight: if number <= 3 { 7.0 / 3.0 } else { 1.0 },
            classes: classes.to_vec(),
            prefixes: 12,
        });
        Shape {
            organisations: organisations.collect(),
            bursts: Vec::new(),
        }
    }
}

fn class(
    priority: Priority,
    weight: f64,
    prompt_tokens: f64,
    answer_tokens: f64,
    patience_ms: u64,
) -> ClassShape {
    ClassShape {
        priority,
        weight,
        prompt_tokens,
        answer_tokens,
        patience_ms,
    }
}
