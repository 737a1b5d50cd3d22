package org.elderhitch.heartbeat

/** How a worker's message relates to the worker's known agent epoch. */
internal enum class MessageFreshness {
    /** The message belongs to an epoch that is older than the known one or has expired, and is obsolete. */
    STALE,

    /** The message belongs to the known epoch. */
    CURRENT_EPOCH,

    /** The message is the first of a newer epoch. All tasks of earlier epochs are gone from the worker. */
    NEW_EPOCH,
}
