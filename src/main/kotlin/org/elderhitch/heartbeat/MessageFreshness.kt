package org.elderhitch.heartbeat

/** How a worker's message relates to the agent epoch that is known of the worker. */
internal enum class MessageFreshness {
    /** Of an epoch that is older than the known one or has expired: it tells nothing about the present. */
    STALE,

    /** Of the known epoch. */
    CURRENT_EPOCH,

    /** The first message of a newer epoch. All tasks of earlier epochs are gone from the worker. */
    NEW_EPOCH,
}
