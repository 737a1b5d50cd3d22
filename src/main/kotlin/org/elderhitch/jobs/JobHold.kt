package org.elderhitch.jobs

import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.store.Revision

/** Why nothing of a job is started, though it is open. */
public enum class HoldKind {
    /** Its user asked for it before anything of it ran. */
    USER,

    /** Its user had its tasks stopped with a save. */
    SUSPENDED,

    /** A task was started as often as the rule of its class allows. */
    ATTEMPTS,

    /**
     * No hold any more. The key stays until the job ends: were it dropped, a write of the hold that was carried out
     * late would find
     * it absent, as it expects, and hold what its user had released (seen in a test of such a write).
     */
    RELEASED,
}

/**
 * Stands under a key of its own beside the job's record: whoever leads starts nothing of the job while the key is
 * there.
 */
public data class JobHold(val kind: HoldKind, val reason: String, val version: Revision) {
    public fun encode(): Map<String, Any?> = linkedMapOf("hold" to kind.name.lowercase(), "why" to reason)

    /** Null if the key only remembers one. */
    public val effective: JobHold? get() = takeIf { kind != HoldKind.RELEASED }

    public companion object {
        private const val LONGEST_REASON = 300

        public fun of(kind: HoldKind, reason: String): JobHold =
            JobHold(kind, reason.take(LONGEST_REASON), Revision.ABSENT)

        /** Null for a value that this program did not write. */
        public fun decode(value: JsonObject, version: Revision): JobHold? = try {
            HoldKind.entries.firstOrNull {
                it.name.lowercase() == value.string("hold")
            }?.let { JobHold(it, value.string("why"), version) }
        } catch (_: MalformedJson) {
            null
        }
    }
}
