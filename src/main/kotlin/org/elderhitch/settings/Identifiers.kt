package org.elderhitch.settings

/** The name of a controller, unique in the cluster. */
@JvmInline
public value class NodeName(public val text: String) {
    override fun toString(): String = text
}

/** An availability zone of the cloud; empty where the settings name none. */
@JvmInline
public value class Zone(public val name: String) {
    override fun toString(): String = name
}

/** The name of a team, to which quotas apply. */
@JvmInline
public value class TeamName(public val text: String) {
    override fun toString(): String = text
}
