//! Homes: regions that the requests of a route or of an organisation do not leave.

use std::{
    collections::{BTreeMap, BTreeSet},
    convert::Infallible,
    str::FromStr,
};

/// Name of a region, any text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub struct Region(String);

impl From<&str> for Region {
    fn from(name: &str) -> Region {
        Region(name.to_owned())
    }
}

impl FromStr for Region {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Region, Infallible> {
        Ok(text.into())
    }
}

/// Regions in which requests may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Homes(Option<BTreeSet<Region>>);

impl Homes {
    /// Returns these regions; all regions if there are none.
    pub fn new(regions: impl IntoIterator<Item = Region>) -> Homes {
        let regions: BTreeSet<Region> = regions.into_iter().collect();
        Homes((!regions.is_empty()).then_some(regions))
    }

    /// Returns whether some region is no home.
    pub fn is_restricted(&self) -> bool {
        self.0.is_some()
    }

    /// Returns whether requests may be served in a region. One that is unknown is no home.
    pub fn allow(&self, region: Option<&Region>) -> bool {
        let is_home =
            |homes: &BTreeSet<Region>| region.is_some_and(|region| homes.contains(region));
        self.0.as_ref().is_none_or(is_home)
    }

    /// Returns the homes that both allow, which may be no region at all.
    pub fn both(&self, other: &Homes) -> Homes {
        Homes(match (&self.0, &other.0) {
            (Some(own), Some(other)) => Some(own.intersection(other).cloned().collect()),
            (homes, None) | (None, homes) => homes.clone(),
        })
    }
}

/// Region of one data centre. As text: `DATA_CENTRE:REGION`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentreRegion {
    data_centre: String,
    region: Region,
}

/// Error for a text that names no data centre and its region.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{text:?} is not DATA_CENTRE:REGION")]
pub struct ParseRegionError {
    /// The invalid text.
    pub text: String,
}

impl FromStr for DataCentreRegion {
    type Err = ParseRegionError;

    fn from_str(text: &str) -> Result<DataCentreRegion, ParseRegionError> {
        match text.split_once(':') {
            Some((data_centre, region)) if !data_centre.is_empty() && !region.is_empty() => {
                Ok(DataCentreRegion {
                    data_centre: data_centre.to_owned(),
                    region: region.into(),
                })
            }
            _ => Err(ParseRegionError {
                text: text.to_owned(),
            }),
        }
    }
}

/// Regions of the data centres.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions(BTreeMap<String, Region>);

impl Regions {
    /// Returns the region of a data centre, if it is known.
    pub fn of(&self, data_centre: &str) -> Option<&Region> {
        self.0.get(data_centre)
    }
}

impl FromIterator<DataCentreRegion> for Regions {
    fn from_iter<I: IntoIterator<Item = DataCentreRegion>>(regions: I) -> Regions {
        let regions = regions.into_iter();
        Regions(
            regions
                .map(|entry| (entry.data_centre, entry.region))
                .collect(),
        )
    }
}
