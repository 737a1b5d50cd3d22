package org.elderhitch.heartbeat

/** What became of commands that were sent to a worker's own address. */
public sealed interface CommandOutcome {
    public data class Executed(val report: Heartbeat) : CommandOutcome

    /** Surely not executed, now or later. */
    public data object NotExecuted : CommandOutcome

    /** The same, and the worker took no connection. */
    public data object Unreachable : CommandOutcome

    /** Executed, or not, or still to be executed. */
    public data object Unknown : CommandOutcome
}
