package org.elderhitch.leadership

/**
 * The number of a leadership term, incremented by each successful claim. The state service holds the counter, so no two
 * leaders share a term. Workers treat it as a fencing token and reject commands of a lower term.
 */
@JvmInline
public value class Term(public val number: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** Lower than any claimed term. */
        public val NONE: Term = Term(0)
    }
}
