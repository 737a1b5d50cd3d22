package org.elderhitch.fleet

/**
 * Why a machine is terminated. [logName] stands in log lines; [cancellable]: the reason is void once the machine's
 * worker sends a heartbeat.
 */
public enum class TerminationReason(public val logName: String, internal val cancellable: Boolean) {
    /** Its worker sends no heartbeats any more. */
    SUSPECTED("suspected", true),

    /** It may run tasks of an earlier term, and its worker sent no heartbeat in this one. */
    NEVER_SEEN("never_seen", true),

    /** The cloud lists it as failed. */
    FAILED("failed", false),

    /** It is empty and not needed, or was given up while it booted. */
    IDLE("idle", false),
}
