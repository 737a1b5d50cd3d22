package org.elderhitch.jobs

import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Revision

/** Why no task of a job is started, though the job is open. */
public enum class HoldKind(
    /** The word of stored holds. */
    public val wireName: String,
) {
    /** Its user asked for it before any task ran. */
    USER("user"),

    /** Its user had its tasks stopped with a checkpoint. */
    SUSPENDED("suspended"),

    /** The attempts of a task reached the limit of its class. */
    ATTEMPTS("attempts"),

    /**
     * No hold any more. The key stays until the job ends: if it were dropped, a delayed write of the hold would find it
     * absent, as it expects, and hold what its user had released (seen in a test of such a write).
     */
    RELEASED("released"),
}

/**
 * The hold of a job, stored under a key of its own: a leader starts no task of a job with an [effective] hold.
 * [version]: that of the key.
 */
public data class JobHold(val kind: HoldKind, val reason: String, val version: Revision) {
    /** The stored value. */
    public fun encode(): Map<String, Any?> = linkedMapOf(KIND to kind.wireName, REASON to reason)

    /** This hold; null if it was released. */
    public val effective: JobHold? get() = takeIf { kind != HoldKind.RELEASED }

    public companion object {
        private const val KIND = "hold"
        private const val REASON = "why"
        private const val MAX_REASON_LENGTH = 300

        /** A hold that is not stored yet; a long [reason] is cut. */
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
