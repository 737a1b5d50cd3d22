package org.elderhitch.heartbeat

/** What a worker's word says of its session. */
internal enum class MessageFreshness {
    /** Of a session that was over when it came, or older than what is known: it says nothing of now. */
    STALE,

    /** The session that was known. */
    SAME,

    /** The first word of a session. Whatever ran in an earlier one is gone. */
    NEW_SESSION,
}
