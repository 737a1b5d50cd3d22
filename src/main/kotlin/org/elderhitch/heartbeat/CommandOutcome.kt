package org.elderhitch.heartbeat

/** The outcome of a request to a worker's own address: commands or a probe. */
public sealed interface CommandOutcome {
    /** The worker executed the commands and answered with its state. */
    public data class Executed(val heartbeat: Heartbeat) : CommandOutcome

    /** The commands were surely not executed and never will be. */
    public data object NotExecuted : CommandOutcome

    /** The worker took no connection, so the commands were surely not executed. */
    public data object Unreachable : CommandOutcome

    /** The commands may have been executed, or may still be. */
    public data object Unknown : CommandOutcome
}
