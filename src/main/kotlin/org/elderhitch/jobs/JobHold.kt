package org.elderhitch.jobs

import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Revision

/** Why no tasks of an open job are started. */
public enum class HoldKind(
    /** The name in stored holds. */
    public val wireName: String,
) {
    /** The user put the job on hold before any of its tasks ran. */
    USER("user"),

    /** The user suspended the job: its tasks were checkpointed and stopped. */
    SUSPENDED("suspended"),

    /** The failed or lost attempts of a task reached the limit of the job's class. */
    ATTEMPTS("attempts"),

    /**
     * The job is no longer on hold. The key is kept until the job ends: if it were dropped, a delayed write of the hold
     * would find the key absent, as its precondition demands, and put a job on hold again that the user had released.
     */
    RELEASED("released"),
}

/**
 * The hold of a job, stored under its own key. A leader starts no tasks of a job with an [effective] hold.
 *
 * @property version the version of the key.
 */
public data class JobHold(val kind: HoldKind, val reason: String, val version: Revision) {
    /** The stored value. */
    public fun encode(): Map<String, Any?> = linkedMapOf(KIND to kind.wireName, REASON to reason)

    /** This hold, or null if it was released. */
    public val effective: JobHold? get() = takeIf { kind != HoldKind.RELEASED }

    public companion object {
        private const val KIND = "hold"
        private const val REASON = "why"
        private const val MAX_REASON_LENGTH = 300

        /** A hold that is not stored yet; a long [reason] is truncated. */
        public fun of(kind: HoldKind, reason: String): JobHold =
            JobHold(kind, reason.take(MAX_REASON_LENGTH), Revision.ABSENT)

        /** Reads a stored value; null if it is malformed. */
        public fun decode(value: JsonObject, version: Revision): JobHold? = try {
            val kindName = value.string(KIND)
            val kind = HoldKind.entries.firstOrNull { it.wireName == kindName }
            kind?.let { JobHold(it, value.string(REASON), version) }
        } catch (_: MalformedJson) {
            null
        }
    }
}
