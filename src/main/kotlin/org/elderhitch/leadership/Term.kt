package org.elderhitch.leadership

/**
 * The number of a leadership, raised by one with each successful claim. The state service holds the counter, so no two
 * leaders share a term. Workers see it as a fencing token and refuse commands of a lower term.
 */
@JvmInline
public value class Term(public val number: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** Lower than each term that was ever claimed. */
        public val NONE: Term = Term(0)
    }
}
