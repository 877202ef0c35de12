//! Names and identifiers as immutable strings that are cheap to clone.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name without validating it.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(Arc::from(name))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

shared_name!(
    /// Name of a class of work, chosen by operators.
    ClassName
);
shared_name!(
    /// Identifier of a customer: its API key.
    CustomerId
);
shared_name!(
    /// Name of a customer in the configuration, which is not a secret as its keys are.
    CustomerName
);
shared_name!(
    /// Name of a failure domain: instances and upstreams that can fail together,
    /// such as those of one site.
    FailureDomain
);
shared_name!(
    /// Identifier of an instance: a machine that runs Redwingtack programs.
    InstanceId
);
shared_name!(
    /// Identifier of a batch job.
    JobId
);
shared_name!(
    /// Name of a model that engines serve.
    ModelName
);
shared_name!(
    /// Name of a region: a group of failure domains with fast network links
    /// between them.
    Region
);
shared_name!(
    /// Name of a plain service, which is an upstream that is not a model engine.
    ServiceName
);
shared_name!(
    /// Version of the software that an upstream runs. Versions are not ordered.
    SoftwareVersion
);
shared_name!(
    /// Identifier of an upstream: a model engine or a plain service.
    UpstreamId
);
