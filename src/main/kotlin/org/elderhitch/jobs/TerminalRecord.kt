package org.elderhitch.jobs

import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson

/** How a job ended; never changes once it is recorded. */
public enum class TerminalState(
    /** The word of the protocol and of stored records. */
    public val wireName: String,
) {
    /** All tasks completed. */
    DONE("done"),

    /** Cancelled by a user. */
    CANCELLED("withdrawn"),
}

/**
 * How a job ended, as the state service keeps it for ever. [done]: how many tasks had completed. [account]: null in
 * records that were written before there were accounts.
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
