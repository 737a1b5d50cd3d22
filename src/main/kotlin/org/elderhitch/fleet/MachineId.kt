package org.elderhitch.fleet

@JvmInline
public value class MachineId(public val text: String) : Comparable<MachineId> {
    override fun compareTo(other: MachineId): Int = text.compareTo(other.text)
    override fun toString(): String = text
}
