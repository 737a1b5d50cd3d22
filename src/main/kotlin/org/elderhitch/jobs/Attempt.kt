package org.elderhitch.jobs

/** The number of an execution attempt, which distinguishes the starts of the same task. */
@JvmInline
public value class Attempt(public val number: Long) {
    override fun toString(): String = number.toString()
}
