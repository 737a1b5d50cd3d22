package org.elderhitch.store

/** The outcome of reading one key. */
public sealed interface ReadOutcome {
    public data class Found(val entry: Entry) : ReadOutcome

    /** The service answered that the key doesn't exist. */
    public data object Absent : ReadOutcome

    /** No usable answer: nothing is known about the key. */
    public data object Unavailable : ReadOutcome
}

/** The outcome of a conditional transaction. */
public sealed interface CommitOutcome {
    /** All writes were applied, at [revision]. */
    public data class Committed(val revision: Revision) : CommitOutcome

    /** Nothing was written, since the conditions on the keys in [failed] did not hold. */
    public data class Conflict(val failed: Set<String>) : CommitOutcome

    /** Certainly not executed: it was not sent, or the service turned it away. */
    public data object Refused : CommitOutcome

    /** Certainly not executed: a write names a lease that has expired or was revoked. */
    public data object NoSuchLease : CommitOutcome

    /** The request or its answer was lost: it was executed, or wasn't, or will be executed later. */
    public data object Unknown : CommitOutcome
}

/** The outcome of granting or renewing a lease. */
public sealed interface LeaseOutcome {
    public data class Held(val lease: LeaseId) : LeaseOutcome

    /** The lease has expired or was revoked. */
    public data object Gone : LeaseOutcome

    /** No usable answer: the lease may or may not have been granted or renewed. */
    public data object Unavailable : LeaseOutcome
}

/** The outcome of asking for the changes after a revision. */
public sealed interface WatchOutcome {
    /** All changes after the revision that was asked for, up to [revision]. */
    public data class Changes(val changes: List<Change>, val revision: Revision) : WatchOutcome

    /** The service has compacted the changes since then: the keys must be listed again. */
    public data object TooOld : WatchOutcome

    /** No usable answer. */
    public data object Unavailable : WatchOutcome
}
