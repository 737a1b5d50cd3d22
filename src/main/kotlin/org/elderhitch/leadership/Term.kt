package org.elderhitch.leadership

/** Minted by the state service; the workers' token. */
@JvmInline
public value class Term(public val number: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = number.compareTo(other.number)
    override fun toString(): String = number.toString()

    public companion object {
        public val NONE: Term = Term(0)
    }
}
