package org.elderhitch.leadership

/**
 * The number of a leadership term, which each successful claim takes from a counter in the state service, so no two
 * leaders share a term. It is also the first of the term's fencing tokens ([TokenRange]).
 */
@JvmInline
public value class Term(public val number: Long) : Comparable<Term> {
    /** The lowest fencing token of the term. */
    public val firstToken: FencingToken get() = FencingToken(number)

    override fun compareTo(other: Term): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** Lower than any claimed term. */
        public val NONE: Term = Term(0)
    }
}
