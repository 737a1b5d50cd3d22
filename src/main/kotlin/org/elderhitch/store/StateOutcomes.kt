package org.elderhitch.store

/** The outcome of reading one key. */
public sealed interface ReadOutcome {
    public data class Found(val entry: Entry) : ReadOutcome

    /** The service confirmed that the key does not exist. */
    public data object Absent : ReadOutcome

    /** No usable response: nothing is known about the key. */
    public data object Unavailable : ReadOutcome
}

/** The outcome of a conditional transaction. */
public sealed interface CommitOutcome {
    /** All writes were applied, at [revision]. */
    public data class Committed(val revision: Revision) : CommitOutcome

    /** Nothing was written, because the conditions on the keys in [failed] did not hold. */
    public data class Conflict(val failed: Set<String>) : CommitOutcome

    /** Known not to have been executed: it was not sent, or the service rejected it. */
    public data object Refused : CommitOutcome

    /** Known not to have been executed: a write refers to a lease that has expired or was revoked. */
    public data object NoSuchLease : CommitOutcome

    /** The request or its response was lost: the transaction may have been executed, or may still be executed later. */
    public data object Unknown : CommitOutcome
}

/** The outcome of granting or renewing a lease. */
public sealed interface LeaseOutcome {
    public data class Held(val lease: LeaseId) : LeaseOutcome

    /** The lease has expired or was revoked. */
    public data object Gone : LeaseOutcome

    /** No usable response: the lease may or may not have been granted or renewed. */
    public data object Unavailable : LeaseOutcome
}

/** The outcome of requesting the changes after a revision. */
public sealed interface WatchOutcome {
    /** All changes after the requested revision, up to [revision]. */
    public data class Changes(val changes: List<Change>, val revision: Revision) : WatchOutcome

    /** The service has compacted the changes after the requested revision: the keys must be listed again. */
    public data object TooOld : WatchOutcome

    /** No usable response. */
    public data object Unavailable : WatchOutcome
}
