package org.elderhitch.jobs

/** The phase of a job as users see it. */
public enum class JobPhase(
    /** The name in the protocol. */
    public val wireName: String,
) {
    QUEUED("queued"),
    RUNNING("running"),
    DONE(TerminalState.DONE.wireName),
    CANCELLED(TerminalState.CANCELLED.wireName),
}

/** The status of a job as reported to users: its phase and the numbers of completed and of running tasks. */
public data class JobStatus(val phase: JobPhase, val done: Int, val running: Int) {
    public companion object {
        /** The status of a job in a terminal state. */
        public fun ended(state: TerminalState, done: Int): JobStatus = when (state) {
            TerminalState.DONE -> JobStatus(JobPhase.DONE, done, 0)
            TerminalState.CANCELLED -> JobStatus(JobPhase.CANCELLED, done, 0)
        }

        /** The status of an open job. */
        public fun open(done: Int, running: Int): JobStatus =
            JobStatus(if (running > 0) JobPhase.RUNNING else JobPhase.QUEUED, done, running)
    }
}
