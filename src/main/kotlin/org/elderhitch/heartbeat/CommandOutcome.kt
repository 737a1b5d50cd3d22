package org.elderhitch.heartbeat

/** The outcome of a request, commands or a probe, to a worker's own address. */
public sealed interface CommandOutcome {
    /** The worker executed the commands and replied with its state. */
    public data class Executed(val heartbeat: Heartbeat) : CommandOutcome

    /** The commands were certainly not executed, and never will be. */
    public data object NotExecuted : CommandOutcome

    /** The worker accepted no connection, so the commands were certainly not executed. */
    public data object Unreachable : CommandOutcome

    /** The commands may have been executed, or may be executed later. */
    public data object Unknown : CommandOutcome
}
