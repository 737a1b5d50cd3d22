package org.elderhitch.fleet

/**
 * Why a machine is terminated.
 *
 * @property logName the name of the reason in log lines
 * @property cancellable whether a heartbeat of the machine's worker invalidates the reason
 */
public enum class TerminationReason(public val logName: String, internal val cancellable: Boolean) {
    /** Its worker stopped sending heartbeats. */
    SUSPECTED("suspected", true),

    /** It may run tasks of an earlier term, and its worker has sent no heartbeat in this one. */
    NEVER_SEEN("never_seen", true),

    /** The cloud lists it as failed. */
    FAILED("failed", false),

    /** It is empty and not needed, is empty and faulty, or did not boot in time. */
    IDLE("idle", false),
}
