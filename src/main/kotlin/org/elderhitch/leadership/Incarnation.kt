package org.elderhitch.leadership

/**
 * Identifies one run of a controller process. A node runs one incarnation at a time, so a newer incarnation of a node
 * proves that the earlier ones have ended.
 */
@JvmInline
public value class Incarnation(public val text: String) {
    override fun toString(): String = text
}
