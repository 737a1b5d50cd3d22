package org.elderhitch.heartbeat

import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.TaskId
import kotlin.time.Duration

/** A leader's command to a worker for one attempt of a task. Commands are idempotent: workers execute repeats once. */
public sealed interface Command {
    public val task: TaskId
    public val attempt: Attempt

    /** Starts the task. */
    public data class Start(override val task: TaskId, override val attempt: Attempt) : Command

    /** Stops the task within at most [grace], during which a task that supports it saves its state. */
    public data class Stop(override val task: TaskId, override val attempt: Attempt, val grace: Duration) : Command

    /** Drops the record of an exited task. */
    public data class Reap(override val task: TaskId, override val attempt: Attempt) : Command
}
