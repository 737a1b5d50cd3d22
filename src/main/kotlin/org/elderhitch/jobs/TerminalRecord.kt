package org.elderhitch.jobs

import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson

/** The final state of a job; never changes once it is recorded. */
public enum class TerminalState(
    /** The name in the protocol and in stored records. */
    public val wireName: String,
) {
    /** All tasks completed. */
    DONE("done"),

    /** Cancelled by a user. */
    CANCELLED("withdrawn"),
}

/**
 * How a job ended; the state service keeps this record permanently.
 *
 * @property done the number of tasks that were completed.
 * @property account the usage account; null in records from before accounts were introduced.
 */
public data class TerminalRecord(val state: TerminalState, val done: Int, val account: JobAccount? = null) {
    /** The stored value. */
    public fun encode(): Map<String, Any?> = linkedMapOf<String, Any?>(STATE to state.wireName, DONE to done).apply {
        account?.let { put(ACCOUNT, it.encode()) }
    }

    public fun status(): JobStatus = JobStatus.ended(state, done)

    public companion object {
        private const val STATE = "end"
        private const val DONE = "done"
        private const val ACCOUNT = "acct"

        /** Reads a stored value; null if it is malformed. */
        public fun decode(value: JsonObject): TerminalRecord? = try {
            val stateName = value.string(STATE)
            TerminalState.entries.firstOrNull { it.wireName == stateName }?.let { state ->
                val account = value.objectOrNull(ACCOUNT)
                TerminalRecord(state, value.count(DONE).toInt(), account?.let(JobAccount::decode))
            }
        } catch (_: MalformedJson) {
            null
        }
    }
}
