package org.elderhitch.jobs

/** The number of an execution attempt: distinguishes one start of a task from another. */
@JvmInline
public value class Attempt(public val number: Long) {
    override fun toString(): String = number.toString()
}
