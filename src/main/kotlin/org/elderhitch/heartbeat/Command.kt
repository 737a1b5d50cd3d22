package org.elderhitch.heartbeat

import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.TaskId
import kotlin.time.Duration

/** A leader's instruction to a worker about one attempt of one task. Workers execute repeated commands once. */
public sealed interface Command {
    public val task: TaskId
    public val attempt: Attempt

    /** Starts the task. */
    public data class Start(override val task: TaskId, override val attempt: Attempt) : Command

    /** Stops the task after at most [grace], in which a task that can save its state does. */
    public data class Stop(override val task: TaskId, override val attempt: Attempt, val grace: Duration) : Command

    /** Drops the record of an exited task. */
    public data class Reap(override val task: TaskId, override val attempt: Attempt) : Command
}
