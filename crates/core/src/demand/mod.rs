//! Estimates of demand by model and class from arrivals and finished requests.
