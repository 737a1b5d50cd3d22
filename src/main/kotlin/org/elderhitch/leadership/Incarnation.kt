package org.elderhitch.leadership

/** One run of a controller process. A node that runs a new incarnation has surely ended the old one. */
@JvmInline
public value class Incarnation(public val text: String) {
    override fun toString(): String = text
}
