package org.elderhitch.heartbeat

import org.elderhitch.jobs.Attempt
import org.elderhitch.jobs.TaskId
import org.elderhitch.leadership.FencingToken

/**
 * The starts that were sent to a worker's own address in its current agent epoch, and that it may still execute: for
 * the first time if they were not answered, or once more if they were.
 *
 * As long as a worker knows an attempt, exited ones included, a repeated start of it has no effect. So an attempt that
 * [mayBeRepeated] may be forgotten by the worker only because of a message with a higher token, after which the worker
 * refuses the repeat.
 */
internal class DirectStarts {
    private class SentStart(val attempt: Attempt, val token: FencingToken)

    /** The starts of each task; usually one. */
    private val starts = HashMap<TaskId, ArrayList<SentStart>>()

    fun add(start: Command.Start, token: FencingToken) {
        remove(start)
        starts.getOrPut(start.task) { ArrayList(1) }.add(SentStart(start.attempt, token))
    }

    /** Removes starts that were certainly refused or not sent. */
    fun removeAll(refused: Collection<Command.Start>) = refused.forEach(::remove)

    private fun remove(start: Command.Start) {
        val ofTask = starts[start.task] ?: return
        ofTask.removeAll { it.attempt == start.attempt }
        if (ofTask.isEmpty()) starts.remove(start.task)
    }

    /** Removes and returns the starts that the worker refuses from now on, because it has seen [token]. */
    fun removeBelow(token: FencingToken): List<Command.Start> {
        val refused = starts.flatMap { (task, ofTask) ->
            ofTask.filter { it.token < token }.map { Command.Start(task, it.attempt) }
        }
        removeAll(refused)
        return refused
    }

    fun clear() = starts.clear()

    /** Whether the worker may still execute the start of this attempt if the highest token it has seen is [token]. */
    fun mayBeRepeated(task: TaskId, attempt: Attempt, token: FencingToken): Boolean =
        starts[task].orEmpty().any { it.attempt == attempt && it.token >= token }

    /** Same as [mayBeRepeated], for any attempt of the task but [attempt]. */
    fun mayOtherBeRepeated(task: TaskId, attempt: Attempt, token: FencingToken): Boolean =
        starts[task].orEmpty().any { it.attempt != attempt && it.token >= token }
}
