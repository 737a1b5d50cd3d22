package org.elderhitch.heartbeat

import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.TaskId
import kotlin.time.Duration

public sealed interface Command {
    public val task: TaskId
    public val attempt: Attempt

    public data class Start(override val task: TaskId, override val attempt: Attempt) : Command
    public data class Stop(override val task: TaskId, override val attempt: Attempt, val grace: Duration) : Command
    public data class Reap(override val task: TaskId, override val attempt: Attempt) : Command
}
