package org.elderhitch.store

import org.elderhitch.json.JsonObject

/**
 * A revision of the state service: the number of changes committed so far. The version of an entry is the revision at
 * which it was last written.
 */
@JvmInline
public value class Revision(public val number: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = number.compareTo(other.number)
    override fun toString(): String = number.toString()

    public companion object {
        /** The version in a [Condition] that requires the key to be absent. */
        public val ABSENT: Revision = Revision(0)
    }
}

/** Identifies a lease of the state service; keys attached to the lease are dropped when it expires. */
@JvmInline
public value class LeaseId(public val number: Long)

/** One key of the state service with its value, and the revision at which it was last written. */
public data class Entry(val key: String, val value: JsonObject, val version: Revision)

/** A precondition of a transaction: [key] is at [version] or, for [Revision.ABSENT], does not exist. */
public data class Condition(val key: String, val version: Revision)

/** One write of a transaction. */
public sealed interface Write {
    /** Writes [value] under [key], attached to [lease] unless that is null. */
    public data class Put(val key: String, val value: Map<String, Any?>, val lease: LeaseId? = null) : Write

    /** Removes [key]; removing an absent key changes nothing. */
    public data class Drop(val key: String) : Write
}

/** One change of a key, as a watch reports it. */
public sealed interface Change {
    public val key: String

    /** The revision that the change created. */
    public val version: Revision

    /** The key was created or overwritten. */
    public data class Put(val entry: Entry) : Change {
        override val key: String get() = entry.key
        override val version: Revision get() = entry.version
    }

    /** The key was removed. */
    public data class Drop(override val key: String, override val version: Revision) : Change
}

/** One page of a listing, in key order. [more] tells whether further keys follow the last of [entries]. */
public data class Page(val entries: List<Entry>, val more: Boolean, val revision: Revision)
