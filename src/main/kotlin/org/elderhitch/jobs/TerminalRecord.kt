package org.elderhitch.jobs

import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson

/**
 * How a job ended, as its own key keeps it for ever. [account]: null in endings that were written before there were
 * accounts.
 */
public data class TerminalRecord(val how: TerminalState, val done: Int, val account: JobAccount? = null) {
    public fun encode(): Map<String, Any?> = linkedMapOf<String, Any?>("end" to how.word, "done" to done).apply {
        account?.let { put("acct", it.encode()) }
    }

    public fun standing(): JobStatus = JobStatus.ended(how, done)

    public companion object {
        /** Null for a value that this program did not write. */
        public fun decode(value: JsonObject): TerminalRecord? = try {
            TerminalState.entries.firstOrNull { it.word == value.string("end") }
                ?.let {
                    TerminalRecord(it, value.count("done").toInt(), value.objectOrNull("acct")?.let(JobAccount::decode))
                }
        } catch (_: MalformedJson) {
            null
        }
    }
}
