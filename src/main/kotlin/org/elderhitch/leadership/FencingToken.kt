package org.elderhitch.leadership

/**
 * A number that shows a worker who is entitled to command it. A worker keeps the highest token it has seen, and never
 * again executes a message with a lower one.
 */
@JvmInline
public value class FencingToken(public val number: Long) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** Lower than the token of any term. */
        public val NONE: FencingToken = FencingToken(0)
    }
}

/**
 * The fencing tokens that one term may use, from [first] to [last]. The ranges of two terms never overlap, and those of
 * a later term are higher.
 */
public data class TokenRange(val first: FencingToken, val last: FencingToken) {
    public operator fun contains(token: FencingToken): Boolean = token >= first && token <= last

    /** Returns the token after [token], which is of this range, or null if [token] is the last one. */
    public fun after(token: FencingToken): FencingToken? = if (token < last) FencingToken(token.number + 1) else null

    public companion object {
        /** The number of tokens in a term: enough to raise one worker's token every 3 s for nine days. */
        public const val SIZE: Long = 1L shl 18

        /** The tokens of a term that this version claims. */
        public fun of(term: Term): TokenRange = TokenRange(term.firstToken, FencingToken(term.number + SIZE - 1))
    }
}
