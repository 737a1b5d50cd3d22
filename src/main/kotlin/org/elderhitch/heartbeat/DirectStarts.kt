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
    /** The token that each start was sent with. */
    private val tokens = HashMap<TaskId, HashMap<Attempt, FencingToken>>()

    fun add(start: Command.Start, token: FencingToken) {
        tokens.getOrPut(start.task) { HashMap() }[start.attempt] = token
    }

    /** Removes starts that were certainly refused or not sent. */
    fun removeAll(starts: Collection<Command.Start>) {
        for ((task, attempt) in starts) {
            val attempts = tokens[task] ?: continue
            attempts.remove(attempt)
            if (attempts.isEmpty()) tokens.remove(task)
        }
    }

    /** Removes and returns the starts that the worker refuses from now on, because it has seen [token]. */
    fun removeBelow(token: FencingToken): List<Command.Start> {
        val refused = tokens.flatMap { (task, attempts) ->
            attempts.filterValues { it < token }.keys.map { Command.Start(task, it) }
        }
        removeAll(refused)
        return refused
    }

    fun clear() = tokens.clear()

    /** Whether the worker may still execute the start of this attempt if the highest token it has seen is [token]. */
    fun mayBeRepeated(task: TaskId, attempt: Attempt, token: FencingToken): Boolean =
        tokens[task]?.get(attempt).let { it != null && it >= token }

    /** Same as [mayBeRepeated], for any attempt of the task but [attempt]. */
    fun mayOtherBeRepeated(task: TaskId, attempt: Attempt, token: FencingToken): Boolean =
        tokens[task].orEmpty().any { (other, sentWith) -> other != attempt && sentWith >= token }
}
