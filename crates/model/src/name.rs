//! Shared immutable names.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` without checking it.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
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
    /// A class of work, as operators name it.
    ClassName
);
shared_name!(
    /// A customer, named by its API key.
    CustomerId
);
shared_name!(
    /// A set of machines that fail together, such as a site.
    FailureDomain
);
shared_name!(
    /// One machine that runs our programs.
    InstanceId
);
shared_name!(
    /// A batch job.
    JobId
);
shared_name!(
    /// A model that engines serve.
    ModelName
);
shared_name!(
    /// A group of failure domains with fast links among them.
    Region
);
shared_name!(
    /// A plain service beside the model engines.
    ServiceName
);
shared_name!(
    /// A back end: a model engine or a plain service.
    UpstreamId
);
