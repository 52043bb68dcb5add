//! Faults put into the world on purpose, to show that the oracle notices them.

/// One planted fault; each stands for a mistake that the code under test must not make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlantedFault {
    /// A new holder takes its fences for raised without sending them.
    SkipFenceRaise,
    /// An order is sent when its commit is begun.
    SendBeforeCommit,
    /// A holder counts its lease for longer than it told its challengers, and never looks at its clock.
    IgnoreLeaseMargin,
    /// An order's commit does not check the epoch.
    CommitWithoutEpoch,
    /// A role is changed on an engine that was not drained.
    ChangeWithoutDrain,
    /// A second order is sent while the first one's fate is unknown.
    TwoOrdersOutstanding,
    /// A call leaves before its claim is committed.
    DispatchBeforeClaim,
    /// A call is sent again when its fate is unknown.
    DispatchTwice,
    /// "Not run" is said where nobody can know.
    NotRunAfterSend,
    /// Cached prefixes are shared among tenants.
    DropTenantSalt,
    /// A gateway overlooks that an engine leaves.
    RouteToLeavingEngine,
    /// A gateway overlooks where a tenant's data may be.
    IgnoreResidency,
    /// Parts reach the caller unchecked.
    PassGaps,
    /// A node takes in an older bundle than the one in force.
    AcceptLowerGeneration,
    /// A node takes in a bundle that no operator signed.
    AcceptUnsignedBundle,
    /// A rollout does not check that its place is free.
    AcceptWithoutCheck,
    /// An operator is told "accepted" when the answer was lost.
    AssumeAccepted,
}

impl PlantedFault {
    /// Every fault that can be planted into the fleet's authority.
    pub const AUTHORITY: [Self; 6] = [
        Self::SkipFenceRaise,
        Self::SendBeforeCommit,
        Self::IgnoreLeaseMargin,
        Self::CommitWithoutEpoch,
        Self::ChangeWithoutDrain,
        Self::TwoOrdersOutstanding,
    ];

    /// Every fault that can be planted into the serving of requests.
    pub const SERVING: [Self; 7] = [
        Self::DispatchBeforeClaim,
        Self::DispatchTwice,
        Self::NotRunAfterSend,
        Self::DropTenantSalt,
        Self::RouteToLeavingEngine,
        Self::IgnoreResidency,
        Self::PassGaps,
    ];

    /// Every fault that can be planted into the distribution of bundles.
    pub const BUNDLES: [Self; 4] = [
        Self::AcceptLowerGeneration,
        Self::AcceptUnsignedBundle,
        Self::AcceptWithoutCheck,
        Self::AssumeAccepted,
    ];
}
